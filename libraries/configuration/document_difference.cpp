#include "configuration/document_difference.h"

#include <array>
#include <charconv>
#include <map>

namespace ivypier::configuration {

namespace {

/// Maps the path of each field of a document to its text.
using field_map = std::map<std::string, std::string>;

constexpr std::size_t max_number_length = 32;

std::string formatNumber(double value)
{
    std::array<char, max_number_length> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    return std::string(digits.data(), written.ptr);
}

std::string joinValues(const std::vector<std::string> &values)
{
    std::string result;
    for (const std::string &each : values)
        result += (result.empty() ? "" : ", ") + each;
    return result;
}

void addService(field_map &fields, const service &entry)
{
    const std::string path = "services." + entry.name + ".";
    fields[path + "kind"] = name(entry.kind);
    if (entry.kind == service_kind::model) {
        fields[path + "model"] = entry.model;
        fields[path + "model_version"] = entry.modelVersion;
        fields[path + "first_token_ms"] = std::to_string(milliseconds(entry.firstTokenTarget));
        fields[path + "between_tokens_ms"] = std::to_string(milliseconds(entry.betweenTokensTarget));
    } else {
        fields[path + "answer_ms"] = std::to_string(milliseconds(entry.firstTokenTarget));
    }
    fields[path + "budget_per_hour"] = formatNumber(entry.budgetPerHour);
    fields[path + "fencing"] = entry.fencing == fencing_check::checked ? "checked" : "ignored";
    std::vector<std::string> order;
    for (const request_class &each : entry.classes) {
        order.push_back(each.name);
        fields[path + "classes." + each.name + ".worth"] = formatNumber(each.worth);
        fields[path + "classes." + each.name + ".priority"] = std::to_string(each.priority);
    }
    // Accounts without a class get the first one, so a change of order is a difference.
    fields[path + "classes"] = joinValues(order);
}

void addAccount(field_map &fields, const client_account &entry)
{
    const std::string path = "client_accounts." + entry.name + ".";
    fields[path + "key_sha256"] = entry.keySha256;
    fields[path + "class"] = entry.requestClass;
    fields[path + "requests_per_second"] = formatNumber(entry.requestsPerSecond);
    fields[path + "concurrent_requests"] = std::to_string(entry.concurrentRequests);
    fields[path + "services"] = joinValues(entry.services);
}

void addUpstream(field_map &fields, const upstream &entry)
{
    const std::string path = "upstreams." + entry.name + ".";
    fields[path + "service"] = entry.service;
    fields[path + "address"] = entry.address.text();
    fields[path + "failure_domain"] = entry.failureDomain;
    fields[path + "machine_class"] = entry.machineClass;
    fields[path + "price_per_hour"] = formatNumber(entry.pricePerHour);
}

field_map flattenFields(const document &content)
{
    field_map fields;
    fields["deployment.name"] = content.deployment;
    for (const service &each : content.services)
        addService(fields, each);
    for (const client_account &each : content.clientAccounts)
        addAccount(fields, each);
    for (const upstream &each : content.upstreams)
        addUpstream(fields, each);
    for (const operator_account &each : content.operators)
        fields["operators." + each.name + ".key_sha256"] = each.keySha256;
    return fields;
}

} // namespace

std::vector<document_change> difference(const document &before, const document &after)
{
    const field_map oldFields = flattenFields(before);
    field_map newFields = flattenFields(after);
    std::map<std::string, document_change> changes;
    for (const auto &[path, value] : oldFields) {
        const auto found = newFields.find(path);
        const std::string newValue = found == newFields.end() ? "" : found->second;
        if (newValue != value)
            changes[path] = {path, value, newValue};
        if (found != newFields.end())
            newFields.erase(found);
    }
    for (const auto &[path, value] : newFields) {
        if (!value.empty())
            changes[path] = {path, "", value};
    }
    std::vector<document_change> result;
    result.reserve(changes.size());
    for (auto &[path, change] : changes)
        result.push_back(std::move(change));
    return result;
}

std::string describe(const document_change &change)
{
    return change.path + ": \"" + change.before + "\" -> \"" + change.after + "\"";
}

} // namespace ivypier::configuration
