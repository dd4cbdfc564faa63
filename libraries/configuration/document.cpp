#include "configuration/document.h"

#include <algorithm>
#include <set>

namespace ivypier::configuration {

namespace {

constexpr std::int64_t most_milliseconds = 600'000;
constexpr double most_money = 1e9;
constexpr double most_requests_per_second = 1e6;
constexpr std::int64_t most_concurrent_requests = 1'000'000;
constexpr std::size_t digest_digits = 64;
constexpr std::size_t name_limit = 64;

bool isName(std::string_view text)
{
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
            || character == '-';
    };
    return !text.empty() && text.size() <= name_limit && std::all_of(text.begin(), text.end(), allowed);
}

bool isDigest(std::string_view text)
{
    const auto allowed = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    };
    return text.size() == digest_digits && std::all_of(text.begin(), text.end(), allowed);
}

std::string readName(settings_reader &table, std::string_view key)
{
    std::string value = table.requiredString(key);
    if (!value.empty() && !isName(value))
        table.fault(key, "is \"" + value + "\"; expected at most 64 of a-z, 0-9 and -");
    return value;
}

std::string readUniqueName(settings_reader &table, std::set<std::string> &taken)
{
    std::string value = readName(table, "name");
    if (!value.empty() && !taken.insert(value).second)
        table.fault("name", "\"" + value + "\" stands twice");
    return value;
}

std::string readDigest(settings_reader &table)
{
    std::string value = table.requiredString("key_sha256");
    if (!value.empty() && !isDigest(value))
        table.fault("key_sha256", "is not a SHA-256 digest of 64 lower-case hexadecimal digits");
    return value;
}

duration readMilliseconds(settings_reader &table, std::string_view key)
{
    return std::chrono::milliseconds(table.requiredInteger(key, 1, most_milliseconds));
}

std::vector<request_class> readClasses(settings_reader &table)
{
    std::vector<request_class> classes;
    std::set<std::string> names;
    for (settings_reader &each : table.tables("classes")) {
        request_class result;
        result.name = readUniqueName(each, names);
        result.worth = each.optionalNumber("worth", 1.0, 0.0, most_money);
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
        result.firstTokenTarget = readMilliseconds(table, "first_token_ms");
        result.betweenTokensTarget = readMilliseconds(table, "between_tokens_ms");
    } else {
        result.firstTokenTarget = readMilliseconds(table, "answer_ms");
    }
    result.budgetPerHour = table.requiredNumber("budget_per_hour", 0.0, most_money);
    result.fencing = table.choice("fencing", {"checked", "ignored"}) == "checked" ? fencing_check::checked
                                                                                  : fencing_check::ignored;
    result.classes = readClasses(table);
    table.finish();
    return result;
}

client_account readAccount(settings_reader &table, std::set<std::string> &names,
                           const std::set<std::string> &services)
{
    client_account result;
    result.name = readUniqueName(table, names);
    result.keySha256 = readDigest(table);
    result.requestClass = table.optionalString("class", "");
    result.requestsPerSecond = table.requiredNumber("requests_per_second", 0.0, most_requests_per_second);
    result.concurrentRequests = static_cast<std::uint32_t>(
        table.requiredInteger("concurrent_requests", 0, most_concurrent_requests));
    result.services = table.optionalStrings("services");
    for (const std::string &each : result.services) {
        if (!services.contains(each))
            table.fault("services", "names \"" + each + "\", which is not a service of this document");
    }
    table.finish();
    return result;
}

upstream readUpstream(settings_reader &table, std::set<std::string> &names,
                      const std::set<std::string> &services)
{
    upstream result;
    result.name = readUniqueName(table, names);
    result.service = table.requiredString("service");
    if (!result.service.empty() && !services.contains(result.service))
        table.fault("service", "names \"" + result.service + "\", which is not a service of this document");
    const std::string address = table.requiredString("address");
    const outcome<endpoint> parsed = endpoint::parse(address);
    if (parsed)
        result.address = parsed.value();
    else if (!address.empty())
        table.fault("address", parsed.error().message);
    result.failureDomain = readName(table, "failure_domain");
    result.machineClass = table.optionalString("machine_class", "");
    result.pricePerHour = table.optionalNumber("price_per_hour", 0.0, 0.0, most_money);
    table.finish();
    return result;
}

void checkClasses(settings_reader &root, const document &parsed)
{
    for (const client_account &account : parsed.clientAccounts) {
        if (account.requestClass.empty())
            continue;
        const bool known
            = std::any_of(parsed.services.begin(), parsed.services.end(), [&](const service &each) {
                  return std::any_of(each.classes.begin(), each.classes.end(), [&](const request_class &one) {
                      return one.name == account.requestClass;
                  });
              });
        if (!known)
            root.fault("client_accounts",
                       "of " + account.name + " name the class \"" + account.requestClass
                           + "\", which no service has");
    }
}

} // namespace

std::string_view name(service_kind kind)
{
    return kind == service_kind::model ? "model" : "plain";
}

const service *document::findService(std::string_view wanted) const
{
    for (const service &each : services) {
        if (each.name == wanted)
            return &each;
    }
    return nullptr;
}

request_class document::classOf(const client_account &account, const service &of) const
{
    for (const request_class &each : of.classes) {
        if (each.name == account.requestClass)
            return each;
    }
    return of.classes.empty() ? request_class{"standard", 1.0, 0} : of.classes.front();
}

parsed_document parseDocument(std::string_view text)
{
    settings_reader root = settings_reader::parse(text);
    document parsed;
    std::set<std::string> serviceNames;
    std::set<std::string> accountNames;
    std::set<std::string> upstreamNames;
    std::set<std::string> operatorNames;

    settings_reader deployment = root.table("deployment");
    parsed.deployment = readName(deployment, "name");
    deployment.finish();
    for (settings_reader &each : root.tables("services"))
        parsed.services.push_back(readService(each, serviceNames));
    for (settings_reader &each : root.tables("client_accounts"))
        parsed.clientAccounts.push_back(readAccount(each, accountNames, serviceNames));
    for (settings_reader &each : root.tables("upstreams"))
        parsed.upstreams.push_back(readUpstream(each, upstreamNames, serviceNames));
    for (settings_reader &each : root.tables("operators")) {
        operator_account result;
        result.name = readUniqueName(each, operatorNames);
        result.keySha256 = readDigest(each);
        each.finish();
        parsed.operators.push_back(std::move(result));
    }
    root.finish();
    if (!root.has("deployment") && root.faults().empty())
        root.fault("deployment", "is missing; expected a table");
    checkClasses(root, parsed);

    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return parsed;
}

} // namespace ivypier::configuration
