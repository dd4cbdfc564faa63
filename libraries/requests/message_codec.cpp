#include "requests/message_codec.h"

#include "base/hash.h"
#include "base/json.h"

namespace ivypier::requests {

namespace {

outcome<request_outcome> decodeOutcome(const Json::Value &json)
{
    const std::string text = stringMember(json, "outcome");
    for (const request_outcome each :
         {request_outcome::answered, request_outcome::not_run, request_outcome::unknown}) {
        if (text == name(each))
            return each;
    }
    return error{error_code::invalid_argument, "no such outcome: " + text};
}

} // namespace

Json::Value encode(const request_name &request)
{
    Json::Value json(Json::objectValue);
    json["key"] = request.key;
    json["home"] = toHex(request.home);
    json["witness"] = toHex(request.witness);
    json["epoch"] = Json::UInt64{request.epoch};
    return json;
}

Json::Value encode(const dispatch_intent &intent)
{
    Json::Value json(Json::objectValue);
    json["request"] = encode(intent.request);
    json["holder"] = toHex(intent.holder);
    json["previous"] = Json::Value(Json::arrayValue);
    for (const incarnation each : intent.previous)
        json["previous"].append(toHex(each));
    json["forgotten_below"] = Json::UInt64{intent.forgottenBelow};
    return json;
}

Json::Value encode(const final_answer &answer)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = std::string(name(answer.outcome));
    json["status"] = answer.status;
    json["content_type"] = answer.contentType;
    json["body"] = answer.body;
    json["cause"] = answer.cause;
    json["retry_after_ms"] = Json::Int64{milliseconds(answer.retryAfter)};
    json["prompt_tokens"] = Json::UInt64{answer.usage.promptTokens};
    json["cached_tokens"] = Json::UInt64{answer.usage.cachedTokens};
    json["generated_tokens"] = Json::UInt64{answer.usage.generatedTokens};
    json["served_by"] = answer.servedBy;
    json["cost"] = answer.cost;
    json["pieces"] = Json::Value(Json::arrayValue);
    for (const std::string &each : answer.chunks)
        json["pieces"].append(each);
    return json;
}

Json::Value encode(const witness_verdict &verdict)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = std::string(name(verdict.outcome));
    json["holder"] = toHex(verdict.holder);
    if (verdict.answer)
        json["answer"] = encode(*verdict.answer);
    return json;
}

Json::Value encode(const witness_record &record)
{
    Json::Value json(Json::objectValue);
    json["request"] = encode(record.request);
    json["holder"] = toHex(record.holder);
    json["fenced"] = record.fenced;
    if (record.answer)
        json["answer"] = encode(*record.answer);
    return json;
}

Json::Value encode(const epoch_floor &floor)
{
    Json::Value json(Json::objectValue);
    json["witness"] = toHex(floor.witness);
    json["home"] = toHex(floor.home);
    json["below"] = Json::UInt64{floor.below};
    return json;
}

outcome<request_name> decodeName(const Json::Value &json)
{
    request_name request{stringMember(json, "key"), fromHex(stringMember(json, "home")),
                         fromHex(stringMember(json, "witness")), unsignedMember(json, "epoch", 0)};
    if (request.key.empty() || request.home == 0)
        return error{error_code::invalid_argument, "a request without key or home"};
    return request;
}

outcome<dispatch_intent> decodeIntent(const Json::Value &json)
{
    const outcome<request_name> request = decodeName(json["request"]);
    if (!request)
        return request.error();
    dispatch_intent intent{request.value(),
                           fromHex(stringMember(json, "holder")),
                           {},
                           unsignedMember(json, "forgotten_below", 0)};
    if (intent.holder == 0 || !json["previous"].isArray())
        return error{error_code::invalid_argument, "an intent without holder or its chain"};
    for (const Json::Value &each : json["previous"]) {
        const incarnation holder = each.isString() ? fromHex(each.asString()) : 0;
        if (holder == 0)
            return error{error_code::invalid_argument, "a chain with an unreadable holder"};
        intent.previous.push_back(holder);
    }
    return intent;
}

outcome<final_answer> decodeAnswer(const Json::Value &json)
{
    const outcome<request_outcome> decoded = decodeOutcome(json);
    if (!decoded)
        return decoded.error();
    final_answer answer;
    answer.outcome = decoded.value();
    answer.status = static_cast<int>(integerMember(json, "status", 200));
    answer.contentType = stringMember(json, "content_type");
    answer.body = stringMember(json, "body");
    answer.cause = stringMember(json, "cause");
    answer.retryAfter = std::chrono::milliseconds(integerMember(json, "retry_after_ms", 0));
    answer.usage = {unsignedMember(json, "prompt_tokens", 0), unsignedMember(json, "cached_tokens", 0),
                    unsignedMember(json, "generated_tokens", 0)};
    answer.servedBy = stringMember(json, "served_by");
    answer.cost = numberMember(json, "cost", 0.0);
    for (const Json::Value &each : json["pieces"])
        answer.chunks.push_back(each.isString() ? each.asString() : std::string());
    return answer;
}

outcome<witness_verdict> decodeVerdict(const Json::Value &json)
{
    const outcome<request_outcome> decoded = decodeOutcome(json);
    if (!decoded)
        return decoded.error();
    witness_verdict verdict{decoded.value(), std::nullopt, fromHex(stringMember(json, "holder"))};
    if (!json.isMember("answer"))
        return verdict;
    outcome<final_answer> answer = decodeAnswer(json["answer"]);
    if (!answer)
        return answer.error();
    verdict.answer = std::move(answer.value());
    return verdict;
}

outcome<witness_record> decodeRecord(const Json::Value &json)
{
    const outcome<request_name> request = decodeName(json["request"]);
    if (!request)
        return request.error();
    witness_record record{request.value(), fromHex(stringMember(json, "holder")),
                          booleanMember(json, "fenced"), std::nullopt};
    if (!json.isMember("answer"))
        return record;
    outcome<final_answer> answer = decodeAnswer(json["answer"]);
    if (!answer)
        return answer.error();
    record.answer = std::move(answer.value());
    return record;
}

outcome<epoch_floor> decodeFloor(const Json::Value &json)
{
    const epoch_floor floor{fromHex(stringMember(json, "witness")), fromHex(stringMember(json, "home")),
                            unsignedMember(json, "below", 0)};
    if (floor.witness == 0 || floor.home == 0)
        return error{error_code::invalid_argument, "a floor without witness or home"};
    return floor;
}

} // namespace ivypier::requests
