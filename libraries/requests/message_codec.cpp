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

Json::Value encode(const dispatch_intent &intent)
{
    Json::Value json(Json::objectValue);
    json["request"] = intent.request;
    json["holder"] = toHex(intent.holder);
    json["previous"] = toHex(intent.previous);
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
    return json;
}

Json::Value encode(const witness_verdict &verdict)
{
    Json::Value json(Json::objectValue);
    json["outcome"] = std::string(name(verdict.outcome));
    if (verdict.answer)
        json["answer"] = encode(*verdict.answer);
    return json;
}

outcome<dispatch_intent> decodeIntent(const Json::Value &json)
{
    dispatch_intent intent{stringMember(json, "request"), fromHex(stringMember(json, "holder")),
                           fromHex(stringMember(json, "previous"))};
    if (intent.request.empty() || intent.holder == 0)
        return error{error_code::invalid_argument, "an intent without request or holder"};
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
    return answer;
}

outcome<witness_verdict> decodeVerdict(const Json::Value &json)
{
    const outcome<request_outcome> decoded = decodeOutcome(json);
    if (!decoded)
        return decoded.error();
    witness_verdict verdict{decoded.value(), std::nullopt};
    if (!json.isMember("answer"))
        return verdict;
    outcome<final_answer> answer = decodeAnswer(json["answer"]);
    if (!answer)
        return answer.error();
    verdict.answer = std::move(answer.value());
    return verdict;
}

} // namespace ivypier::requests
