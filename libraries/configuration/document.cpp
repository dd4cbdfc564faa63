#include "configuration/document.h"

#include <algorithm>
#include <set>

namespace ivypier::configuration {

namespace {

constexpr std::int64_t max_milliseconds = 600'000;
constexpr double max_currency_amount = 1e9;
constexpr double max_requests_per_second = 1e6;
constexpr std::int64_t max_concurrent_requests = 1'000'000;
constexpr std::size_t digest_digits = 64;
constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_text_bytes = 128;
constexpr std::size_t max_services = 256;
constexpr std::size_t max_classes = 32;
constexpr std::size_t max_accounts = 10'000;
constexpr std::size_t max_upstreams = 10'000;
constexpr std::size_t max_operators = 1'000;

/// Collects the values read so far that must be unique in a document.
struct used_names
{
    std::set<std::string> services;
    std::set<std::string> accounts;
    std::set<std::string> upstreams;
    std::set<std::string> operators;
    std::set<std::string> digests;
    std::set<endpoint> addresses;
};

bool isValidName(std::string_view text)
{
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
            || character == '-';
    };
    return !text.empty() && text.size() <= max_name_length && std::all_of(text.begin(), text.end(), allowed);
}

bool isValidDigest(std::string_view text)
{
    const auto allowed = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    };
    return text.size() == digest_digits && std::all_of(text.begin(), text.end(), allowed);
}

std::string readName(settings_reader &table, std::string_view key)
{
    std::string value = table.requiredString(key);
    if (!value.empty() && !isValidName(value))
        table.fault(key, "is \"" + value + "\"; expected at most 64 of a-z, 0-9 and -");
    return value;
}

std::string readUniqueName(settings_reader &table, std::set<std::string> &usedNames)
{
    std::string value = readName(table, "name");
    if (!value.empty() && !usedNames.insert(value).second)
        table.fault("name", "\"" + value + "\" stands twice");
    return value;
}

/// Reads the digest of a key. It must be unique because accounts and operators are identified by their key.
std::string readDigest(settings_reader &table, std::set<std::string> &usedNames)
{
    std::string value = table.requiredString("key_sha256");
    if (!value.empty() && !isValidDigest(value))
        table.fault("key_sha256", "is not a SHA-256 digest of 64 lower-case hexadecimal digits");
    else if (!value.empty() && !usedNames.insert(value).second)
        table.fault("key_sha256", "belongs to another account or operator too");
    return value;
}

/// Checks a text that is inserted into messages and headers: control characters are a fault.
void checkText(settings_reader &table, std::string_view key, const std::string &value)
{
    const bool printable = std::none_of(value.begin(), value.end(), [](char character) {
        return static_cast<unsigned char>(character) < ' ' || character == 0x7f;
    });
    if (!printable || value.size() > max_text_bytes)
        table.fault(key, "is too long or has control characters; expected at most 128 printable bytes");
}

std::vector<settings_reader> readTables(settings_reader &table, std::string_view key, std::size_t maxEntries)
{
    std::vector<settings_reader> found = table.tables(key);
    if (found.size() <= maxEntries)
        return found;
    table.fault(key,
                "has " + std::to_string(found.size()) + " entries; expected at most "
                    + std::to_string(maxEntries));
    return {};
}

duration readMilliseconds(settings_reader &table, std::string_view key)
{
    return std::chrono::milliseconds(table.requiredInteger(key, 1, max_milliseconds));
}

std::vector<request_class> readClasses(settings_reader &table)
{
    std::vector<request_class> classes;
    std::set<std::string> names;
    for (settings_reader &each : readTables(table, "classes", max_classes)) {
        request_class result;
        result.name = readUniqueName(each, names);
        result.worth = each.optionalNumber("worth", 1.0, 0.0, max_currency_amount);
        result.priority = static_cast<int>(each.optionalInteger("priority", 0, -100, 100));
        each.finish();
        classes.push_back(std::move(result));
    }
    if (classes.empty())
        classes.push_back({"standard", 1.0, 0});
    return classes;
}

service readService(settings_reader &table, std::set<std::string> &names)
{
    service result;
    result.name = readUniqueName(table, names);
    result.kind
        = table.choice("kind", {"model", "plain"}) == "model" ? service_kind::model : service_kind::plain;
    if (result.kind == service_kind::model) {
        result.model = table.requiredString("model");
        result.modelVersion = table.optionalString("model_version", "1");
        checkText(table, "model", result.model);
        checkText(table, "model_version", result.modelVersion);
        result.firstTokenTarget = readMilliseconds(table, "first_token_ms");
        result.betweenTokensTarget = readMilliseconds(table, "between_tokens_ms");
    } else {
        result.firstTokenTarget = readMilliseconds(table, "answer_ms");
    }
    result.budgetPerHour = table.requiredNumber("budget_per_hour", 0.0, max_currency_amount);
    result.fencing = table.choice("fencing", {"checked", "ignored"}) == "checked" ? fencing_check::checked
                                                                                  : fencing_check::ignored;
    result.classes = readClasses(table);
    table.finish();
    return result;
}

bool hasClass(const document &parsed, const std::string &className)
{
    return std::any_of(parsed.services.begin(), parsed.services.end(), [&](const service &each) {
        return std::any_of(each.classes.begin(), each.classes.end(),
                           [&](const request_class &one) { return one.name == className; });
    });
}

std::vector<std::string> readServices(settings_reader &table, const std::set<std::string> &services)
{
    std::vector<std::string> result = table.optionalStrings("services");
    std::set<std::string> seen;
    for (const std::string &each : result) {
        if (!seen.insert(each).second)
            table.fault("services", "names \"" + each + "\" twice");
        else if (!services.contains(each))
            table.fault("services", "names \"" + each + "\", which is not a service of this document");
    }
    return result;
}

client_account readAccount(settings_reader &table, used_names &usedNames, const document &parsed)
{
    client_account result;
    result.name = readUniqueName(table, usedNames.accounts);
    result.keySha256 = readDigest(table, usedNames.digests);
    result.requestClass = table.optionalString("class", "");
    if (!result.requestClass.empty() && !hasClass(parsed, result.requestClass))
        table.fault("class", "is \"" + result.requestClass + "\", a class that no service has");
    result.requestsPerSecond = table.requiredNumber("requests_per_second", 0.0, max_requests_per_second);
    result.concurrentRequests = static_cast<std::uint32_t>(
        table.requiredInteger("concurrent_requests", 0, max_concurrent_requests));
    result.services = readServices(table, usedNames.services);
    table.finish();
    return result;
}

upstream readUpstream(settings_reader &table, used_names &usedNames)
{
    upstream result;
    result.name = readUniqueName(table, usedNames.upstreams);
    result.service = table.requiredString("service");
    if (!result.service.empty() && !usedNames.services.contains(result.service))
        table.fault("service", "names \"" + result.service + "\", which is not a service of this document");
    const std::string address = table.requiredString("address");
    const outcome<endpoint> parsed = endpoint::parse(address);
    if (parsed)
        result.address = parsed.value();
    else if (!address.empty())
        table.fault("address", parsed.error().message);
    if (parsed && !usedNames.addresses.insert(parsed.value()).second)
        table.fault("address", "belongs to another upstream too");
    result.failureDomain = readName(table, "failure_domain");
    result.machineClass = table.optionalString("machine_class", "");
    checkText(table, "machine_class", result.machineClass);
    result.pricePerHour = table.optionalNumber("price_per_hour", 0.0, 0.0, max_currency_amount);
    table.finish();
    return result;
}

operator_account readOperator(settings_reader &table, used_names &usedNames)
{
    operator_account result;
    result.name = readUniqueName(table, usedNames.operators);
    result.keySha256 = readDigest(table, usedNames.digests);
    table.finish();
    return result;
}

} // namespace

std::string_view name(service_kind kind)
{
    return kind == service_kind::model ? "model" : "plain";
}

const service *document::findService(std::string_view serviceName) const
{
    for (const service &each : services) {
        if (each.name == serviceName)
            return &each;
    }
    return nullptr;
}

request_class document::classOf(const client_account &account, const service &requested) const
{
    for (const request_class &each : requested.classes) {
        if (each.name == account.requestClass)
            return each;
    }
    return requested.classes.empty() ? request_class{"standard", 1.0, 0} : requested.classes.front();
}

parsed_document parseDocument(std::string_view text)
{
    if (text.size() > max_document_bytes)
        return std::vector<settings_error>{
            {"", 0, "has " + std::to_string(text.size()) + " bytes; expected at most 1048576"}};
    settings_reader root = settings_reader::parse(text);
    document parsed;
    used_names usedNames;

    settings_reader deployment = root.table("deployment");
    parsed.deployment = readName(deployment, "name");
    deployment.finish();
    for (settings_reader &each : readTables(root, "services", max_services))
        parsed.services.push_back(readService(each, usedNames.services));
    for (settings_reader &each : readTables(root, "client_accounts", max_accounts))
        parsed.clientAccounts.push_back(readAccount(each, usedNames, parsed));
    for (settings_reader &each : readTables(root, "upstreams", max_upstreams))
        parsed.upstreams.push_back(readUpstream(each, usedNames));
    for (settings_reader &each : readTables(root, "operators", max_operators))
        parsed.operators.push_back(readOperator(each, usedNames));
    root.finish();
    if (!root.has("deployment") && root.isReadable())
        root.fault("deployment", "is missing; expected a table");

    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return parsed;
}

} // namespace ivypier::configuration
