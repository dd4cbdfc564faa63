#include "trace.h"

#include "base/hash.h"
#include "base/json.h"

namespace ivypier::replay {

namespace {

error lineError(std::size_t lineNumber, const std::string &why)
{
    return {error_code::invalid_argument, "line " + std::to_string(lineNumber) + ": " + why};
}

outcome<trace_request> readLine(std::string_view line, std::size_t lineNumber)
{
    const outcome<Json::Value> parsed = parseJson(std::string(line));
    if (!parsed || !parsed.value().isObject())
        return lineError(lineNumber, "not a JSON object");
    const Json::Value &json = parsed.value();
    trace_request result;
    result.at = std::chrono::milliseconds(integerMember(json, "at_ms", 0));
    result.account = stringMember(json, "account");
    result.requestClass = stringMember(json, "class");
    result.worth = json["worth"].isNumeric() ? json["worth"].asDouble() : 1.0;
    result.conversation = stringMember(json, "conversation");
    result.turn = static_cast<unsigned>(unsignedMember(json, "turn", 0));
    for (const Json::Value &each : json["prefix_tokens"])
        result.prefixTokens.push_back(each.isUInt64() ? each.asUInt64() : 0);
    result.outputTokens = unsignedMember(json, "output_tokens", 0);
    result.repeatable = booleanMember(json, "repeatable");
    if (result.account.empty() || result.prefixTokens.empty() || result.outputTokens == 0)
        return lineError(lineNumber, "account, prefix_tokens and output_tokens are needed");
    return result;
}

} // namespace

std::string trace_request::prefix(std::size_t messages) const
{
    // The first message is the account's instruction, which all of its conversations share.
    const std::string text
        = messages == 1 ? account : account + '/' + conversation + '/' + std::to_string(messages);
    return toHex(hash64(text));
}

std::string writeTrace(const trace &requests)
{
    std::string text;
    for (const trace_request &each : requests) {
        Json::Value json(Json::objectValue);
        json["at_ms"] = Json::Int64{milliseconds(each.at)};
        json["account"] = each.account;
        json["class"] = each.requestClass;
        json["worth"] = each.worth;
        json["conversation"] = each.conversation;
        json["turn"] = each.turn;
        for (const std::uint64_t tokens : each.prefixTokens)
            json["prefix_tokens"].append(Json::UInt64{tokens});
        json["output_tokens"] = Json::UInt64{each.outputTokens};
        json["repeatable"] = each.repeatable;
        text += writeJson(json) + '\n';
    }
    return text;
}

outcome<trace> readTrace(std::string_view text)
{
    trace result;
    std::size_t lineNumber = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++lineNumber;
        if (line.empty())
            continue;
        outcome<trace_request> request = readLine(line, lineNumber);
        if (!request)
            return request.error();
        if (!result.empty() && request.value().at < result.back().at)
            return lineError(lineNumber, "times go back");
        result.push_back(std::move(request.value()));
    }
    return result;
}

} // namespace ivypier::replay
