#include "configuration/document_difference.h"

#include "configuration/document_writer.h"

#include <map>
#include <sstream>

namespace ivypier::configuration {

namespace {

using fields = std::map<std::string, std::string>;

std::string plainNumber(double value)
{
    std::ostringstream text;
    text.precision(17);
    text << value;
    return text.str();
}

void add(fields &to, const std::string &prefix, const service &each)
{
    to[prefix + "kind"] = name(each.kind);
    to[prefix + "model"] = each.model;
    to[prefix + "model_version"] = each.modelVersion;
    const bool model = each.kind == service_kind::model;
    to[prefix + (model ? "first_token_ms" : "answer_ms")]
        = std::to_string(milliseconds(each.firstTokenTarget));
    if (model)
        to[prefix + "between_tokens_ms"] = std::to_string(milliseconds(each.betweenTokensTarget));
    to[prefix + "budget_per_hour"] = plainNumber(each.budgetPerHour);
    to[prefix + "fencing"] = each.fencing == fencing_check::checked ? "checked" : "ignored";
    for (const request_class &one : each.classes) {
        to[prefix + "classes." + one.name + ".worth"] = plainNumber(one.worth);
        to[prefix + "classes." + one.name + ".priority"] = std::to_string(one.priority);
    }
}

void add(fields &to, const std::string &prefix, const client_account &each)
{
    to[prefix + "key_sha256"] = each.keySha256;
    to[prefix + "class"] = each.requestClass;
    to[prefix + "requests_per_second"] = plainNumber(each.requestsPerSecond);
    to[prefix + "concurrent_requests"] = std::to_string(each.concurrentRequests);
    std::string services;
    for (const std::string &one : each.services)
        services += (services.empty() ? "" : ", ") + one;
    to[prefix + "services"] = services;
}

void add(fields &to, const std::string &prefix, const upstream &each)
{
    to[prefix + "service"] = each.service;
    to[prefix + "address"] = each.address.text();
    to[prefix + "failure_domain"] = each.failureDomain;
    to[prefix + "machine_class"] = each.machineClass;
    to[prefix + "price_per_hour"] = plainNumber(each.pricePerHour);
}

void add(fields &to, const std::string &prefix, const operator_account &each)
{
    to[prefix + "key_sha256"] = each.keySha256;
}

fields fieldsOf(const document &content)
{
    fields result{{"deployment.name", content.deployment}};
    for (const service &each : content.services)
        add(result, "services." + each.name + '.', each);
    for (const client_account &each : content.clientAccounts)
        add(result, "client_accounts." + each.name + '.', each);
    for (const upstream &each : content.upstreams)
        add(result, "upstreams." + each.name + '.', each);
    for (const operator_account &each : content.operators)
        add(result, "operators." + each.name + '.', each);
    return result;
}

} // namespace

std::vector<document_change> difference(const document &before, const document &after)
{
    const fields old = fieldsOf(before);
    std::map<std::string, document_change> changes;
    for (const auto &[path, value] : old)
        changes[path] = {path, value, ""};
    for (const auto &[path, value] : fieldsOf(after)) {
        changes[path].path = path;
        changes[path].after = value;
    }
    std::vector<document_change> result;
    for (const auto &[path, change] : changes) {
        if (change.before != change.after)
            result.push_back(change);
    }
    return result;
}

} // namespace ivypier::configuration
