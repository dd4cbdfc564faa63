#include "requests/handover_codec.h"

#include "base/hash.h"
#include "base/json.h"

namespace ivypier::requests {

namespace {

Json::Value encodeService(const configuration::service &service)
{
    Json::Value json(Json::objectValue);
    json["name"] = service.name;
    json["kind"] = std::string(configuration::name(service.kind));
    json["model"] = service.model;
    json["model_version"] = service.modelVersion;
    json["first_token_ms"] = Json::Int64{milliseconds(service.firstTokenTarget)};
    json["between_tokens_ms"] = Json::Int64{milliseconds(service.betweenTokensTarget)};
    return json;
}

configuration::service decodeService(const Json::Value &json)
{
    configuration::service service;
    service.name = stringMember(json, "name");
    service.kind = stringMember(json, "kind") == configuration::name(configuration::service_kind::plain)
        ? configuration::service_kind::plain
        : configuration::service_kind::model;
    service.model = stringMember(json, "model");
    service.modelVersion = stringMember(json, "model_version");
    service.firstTokenTarget = std::chrono::milliseconds(integerMember(json, "first_token_ms", 0));
    service.betweenTokensTarget = std::chrono::milliseconds(integerMember(json, "between_tokens_ms", 0));
    return service;
}

Json::Value encodeRequest(const incoming_request &request)
{
    Json::Value json(Json::objectValue);
    json["home"] = toHex(request.id.home);
    json["witness"] = toHex(request.id.witness);
    json["epoch"] = Json::UInt64{request.id.epoch};
    json["caller_part"] = request.id.callerPart;
    json["account"] = request.account;
    json["service"] = encodeService(request.service);
    json["class"] = request.requestClass.name;
    json["worth"] = request.requestClass.worth;
    json["priority"] = request.requestClass.priority;
    json["repeatable"] = request.repeatable;
    json["conversation"] = request.conversation;
    json["timeout_ms"] = Json::Int64{milliseconds(request.timeout)};
    json["method"] = request.method;
    json["path"] = request.path;
    json["query"] = request.query;
    json["content_type"] = request.contentType;
    json["body"] = request.body;
    json["prompt_tokens"] = Json::UInt64{request.promptTokens};
    json["output_tokens"] = Json::UInt64{request.outputTokens};
    return json;
}

outcome<incoming_request> decodeRequest(const Json::Value &json)
{
    incoming_request request;
    request.id = {fromHex(stringMember(json, "home")), fromHex(stringMember(json, "witness")),
                  unsignedMember(json, "epoch", 0), stringMember(json, "caller_part")};
    request.account = stringMember(json, "account");
    request.service = decodeService(json["service"]);
    if (request.id.home == 0 || request.id.callerPart.empty() || request.account.empty()
        || request.service.name.empty())
        return error{error_code::invalid_argument, "a handed request without its name"};
    request.requestClass = {stringMember(json, "class"), numberMember(json, "worth", 1.0),
                            static_cast<int>(integerMember(json, "priority", 0))};
    request.repeatable = booleanMember(json, "repeatable");
    request.conversation = stringMember(json, "conversation");
    request.timeout = std::chrono::milliseconds(integerMember(json, "timeout_ms", 0));
    request.method = stringMember(json, "method");
    request.path = stringMember(json, "path");
    request.query = stringMember(json, "query");
    request.contentType = stringMember(json, "content_type");
    request.body = stringMember(json, "body");
    request.promptTokens = unsignedMember(json, "prompt_tokens", 0);
    request.outputTokens = unsignedMember(json, "output_tokens", 0);
    return request;
}

Json::Value encodeRunning(const running_stream &running)
{
    Json::Value json(Json::objectValue);
    json["stream"] = running.stream;
    json["name"] = running.target.name;
    json["service"] = running.target.service;
    json["address"] = running.target.address.text();
    json["failure_domain"] = running.target.failureDomain;
    json["machine_class"] = running.target.machineClass;
    json["price_per_hour"] = running.target.pricePerHour;
    return json;
}

outcome<running_stream> decodeRunning(const Json::Value &json)
{
    const outcome<endpoint> address = endpoint::parse(stringMember(json, "address"));
    if (!address)
        return address.error();
    return running_stream{{stringMember(json, "name"), stringMember(json, "service"), address.value(),
                           stringMember(json, "failure_domain"), stringMember(json, "machine_class"),
                           numberMember(json, "price_per_hour", 0.0)},
                          stringMember(json, "stream")};
}

} // namespace

Json::Value encode(const handover_payload &payload)
{
    Json::Value json(Json::objectValue);
    json["request"] = encodeRequest(payload.request);
    json["dispatched"] = payload.dispatched;
    json["may_have_run"] = payload.mayHaveRun;
    json["attempts"] = payload.attempts;
    json["previous"] = Json::Value(Json::arrayValue);
    for (const incarnation each : payload.previous)
        json["previous"].append(toHex(each));
    json["pieces"] = Json::Value(Json::arrayValue);
    for (const std::string &each : payload.chunks)
        json["pieces"].append(each);
    json["cost"] = payload.cost;
    json["excluded"] = Json::Value(Json::arrayValue);
    for (const endpoint &each : payload.excluded)
        json["excluded"].append(each.text());
    if (payload.running)
        json["running"] = encodeRunning(*payload.running);
    return json;
}

outcome<handover_payload> decodeHandoverPayload(const Json::Value &json)
{
    outcome<incoming_request> request = decodeRequest(json["request"]);
    if (!request)
        return request.error();
    handover_payload payload;
    payload.request = std::move(request.value());
    payload.dispatched = booleanMember(json, "dispatched");
    payload.mayHaveRun = booleanMember(json, "may_have_run");
    payload.attempts = static_cast<unsigned>(unsignedMember(json, "attempts", 0));
    for (const Json::Value &each : json["previous"])
        payload.previous.push_back(each.isString() ? fromHex(each.asString()) : 0);
    for (const Json::Value &each : json["pieces"])
        payload.chunks.push_back(each.isString() ? each.asString() : std::string());
    payload.cost = numberMember(json, "cost", 0.0);
    for (const Json::Value &each : json["excluded"]) {
        const outcome<endpoint> address = endpoint::parse(each.isString() ? each.asString() : std::string());
        if (address)
            payload.excluded.push_back(address.value());
    }
    if (payload.previous.empty())
        return error{error_code::invalid_argument, "a handed request without its holders"};
    if (!json.isMember("running"))
        return payload;
    outcome<running_stream> running = decodeRunning(json["running"]);
    if (!running)
        return running.error();
    payload.running = std::move(running.value());
    return payload;
}

} // namespace ivypier::requests
