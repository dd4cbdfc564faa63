#include "console/draft.h"

#include "configuration/document_writer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

namespace ivypier::console {

namespace {

using configuration::quotedToml;

/// Every number of 18 digits fits a signed 64-bit integer.
constexpr std::size_t max_digits = 18;
constexpr std::size_t max_exponent_digits = 2;

std::size_t skipDigits(std::string_view text, std::size_t from)
{
    while (from < text.size() && text[from] >= '0' && text[from] <= '9')
        ++from;
    return from;
}

/// Returns true if the text is a valid TOML decimal number that fits TOML's number types.
bool isNumber(std::string_view text)
{
    std::size_t position = !text.empty() && (text.front() == '-' || text.front() == '+') ? 1 : 0;
    const std::size_t integerEnd = skipDigits(text, position);
    const bool leadingZero = integerEnd - position > 1 && text[position] == '0';
    if (integerEnd == position || integerEnd - position > max_digits || leadingZero)
        return false;
    position = integerEnd;
    if (position < text.size() && text[position] == '.') {
        const std::size_t end = skipDigits(text, position + 1);
        if (end == position + 1 || end - position > max_digits + 1)
            return false;
        position = end;
    }
    if (position < text.size() && text[position] == 'e') {
        ++position;
        if (position < text.size() && (text[position] == '-' || text[position] == '+'))
            ++position;
        const std::size_t end = skipDigits(text, position);
        if (end == position || end - position > max_exponent_digits)
            return false;
        position = end;
    }
    return position == text.size();
}

std::vector<std::string> splitLines(std::string_view text)
{
    std::vector<std::string> lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        if (end > 0)
            lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string formatTomlValue(field_kind kind, const std::string &entered)
{
    if (kind == field_kind::number && isNumber(entered))
        return entered;
    if (kind != field_kind::service_list)
        return quotedToml(entered);
    std::string list;
    for (const std::string &each : splitLines(entered))
        list += (list.empty() ? "" : ", ") + quotedToml(each);
    return '[' + list + ']';
}

std::string formatTomlFields(const draft_entry &entry, const std::vector<field_description> &fields,
                             const std::string &prefix)
{
    std::string lines;
    for (const field_description &each : fields) {
        const auto found = entry.fields.find(prefix + each.key);
        if (found != entry.fields.end())
            lines += each.key + " = " + formatTomlValue(each.kind, found->second) + '\n';
    }
    return lines;
}

std::string formatTomlEntry(section formSection, const draft_entry &entry)
{
    const std::string name(sectionKey(formSection));
    std::string text = formSection == section::deployment ? '[' + name + "]\n" : "[[" + name + "]]\n";
    text += formatTomlFields(entry, sectionFields(formSection), "");
    for (std::size_t index = 0; formSection == section::services && index < entry.classCount(); ++index)
        text += "[[services.classes]]\n" + formatTomlFields(entry, classFields(), classPath(index, ""));
    return text;
}

/// Returns the shortest text that parses back to the same number.
std::string formatNumber(double value)
{
    std::array<char, 32> digits{};
    return {digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr};
}

std::string formatMilliseconds(duration value)
{
    return std::to_string(milliseconds(value));
}

draft_entry toEntry(const configuration::service &each)
{
    draft_entry entry;
    const bool model = each.kind == configuration::service_kind::model;
    entry.fields
        = {{"name", each.name},
           {"kind", std::string(configuration::name(each.kind))},
           {"budget_per_hour", formatNumber(each.budgetPerHour)},
           {"fencing", each.fencing == configuration::fencing_check::checked ? "checked" : "ignored"}};
    if (model) {
        entry.fields["model"] = each.model;
        entry.fields["model_version"] = each.modelVersion;
        entry.fields["between_tokens_ms"] = formatMilliseconds(each.betweenTokensTarget);
    }
    entry.fields[model ? "first_token_ms" : "answer_ms"] = formatMilliseconds(each.firstTokenTarget);
    for (std::size_t index = 0; index < each.classes.size(); ++index) {
        entry.fields[classPath(index, "name")] = each.classes[index].name;
        entry.fields[classPath(index, "worth")] = formatNumber(each.classes[index].worth);
        entry.fields[classPath(index, "priority")] = std::to_string(each.classes[index].priority);
    }
    return entry;
}

draft_entry toEntry(const configuration::client_account &each)
{
    draft_entry entry;
    entry.fields = {{"name", each.name},
                    {"key_sha256", each.keySha256},
                    {"requests_per_second", formatNumber(each.requestsPerSecond)},
                    {"concurrent_requests", std::to_string(each.concurrentRequests)}};
    if (!each.requestClass.empty())
        entry.fields["class"] = each.requestClass;
    std::string services;
    for (const std::string &one : each.services)
        services += one + '\n';
    if (!services.empty())
        entry.fields["services"] = services;
    return entry;
}

draft_entry toEntry(const configuration::upstream &each)
{
    draft_entry entry;
    entry.fields = {{"name", each.name},
                    {"service", each.service},
                    {"address", each.address.text()},
                    {"failure_domain", each.failureDomain},
                    {"price_per_hour", formatNumber(each.pricePerHour)}};
    if (!each.machineClass.empty())
        entry.fields["machine_class"] = each.machineClass;
    return entry;
}

draft_entry toEntry(const configuration::operator_account &each)
{
    return {{{"name", each.name}, {"key_sha256", each.keySha256}}};
}

template <typename T>
std::vector<draft_entry> toEntries(const std::vector<T> &values)
{
    std::vector<draft_entry> entries;
    for (const T &each : values)
        entries.push_back(toEntry(each));
    return entries;
}

} // namespace

std::string draft_entry::text(const std::string &path) const
{
    const auto found = fields.find(path);
    return found == fields.end() ? std::string() : found->second;
}

std::size_t draft_entry::classCount() const
{
    std::size_t count = 0;
    for (const auto &[path, value] : fields) {
        constexpr std::string_view prefix = "classes[";
        if (path.starts_with(prefix))
            count = std::max<std::size_t>(count, std::strtoul(path.c_str() + prefix.size(), nullptr, 10) + 1);
    }
    return count;
}

draft draft::fromDocument(const configuration::document &content)
{
    draft result;
    result.entries[section::deployment] = {{}};
    if (!content.deployment.empty())
        result.entries[section::deployment].front().fields["name"] = content.deployment;
    result.entries[section::services] = toEntries(content.services);
    result.entries[section::client_accounts] = toEntries(content.clientAccounts);
    result.entries[section::upstreams] = toEntries(content.upstreams);
    result.entries[section::operators] = toEntries(content.operators);
    return result;
}

const std::vector<draft_entry> &draft::entriesIn(section formSection) const
{
    static const std::vector<draft_entry> empty;
    const auto found = entries.find(formSection);
    return found == entries.end() ? empty : found->second;
}

std::string draft::text() const
{
    std::string result;
    for (const section each : allSections()) {
        for (const draft_entry &entry : entriesIn(each))
            result += formatTomlEntry(each, entry) + '\n';
    }
    return result;
}

std::vector<std::string> draft::serviceNames() const
{
    std::vector<std::string> names;
    for (const draft_entry &each : entriesIn(section::services))
        names.push_back(each.text("name"));
    return names;
}

std::string entryPathPrefix(section formSection, std::size_t index)
{
    const std::string name(sectionKey(formSection));
    return formSection == section::deployment ? name + '.' : name + '[' + std::to_string(index) + "].";
}

} // namespace ivypier::console
