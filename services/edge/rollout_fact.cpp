#include "rollout_fact.h"

#include "base/json.h"

namespace ivypier::edge {

std::string encodeRolloutFact(const delivery::rollout_status &status)
{
    Json::Value json(Json::objectValue);
    json["target"] = status.targetVersion;
    json["order"] = Json::UInt64{status.orderVersion};
    json["state"] = std::string(delivery::name(status.state));
    json["share"] = status.share;
    json["tenure"] = Json::UInt64{status.number.tenure};
    json["number"] = Json::UInt64{status.number.sequence};
    json["at"] = Json::Int64{status.statedAt};
    return writeJson(json);
}

outcome<delivery::rollout_status> decodeRolloutFact(const std::string &service, std::string_view text)
{
    const outcome<Json::Value> parsed = parseJson(text);
    if (!parsed)
        return parsed.error();
    const Json::Value &json = objectOf(parsed.value());
    const auto state = delivery::rolloutStateOf(stringMember(json, "state"));
    delivery::rollout_status result;
    result.service = service;
    result.targetVersion = stringMember(json, "target");
    result.orderVersion = unsignedMember(json, "order", 0);
    result.share = numberMember(json, "share", -1.0);
    result.number = {unsignedMember(json, "tenure", 0), unsignedMember(json, "number", 0)};
    result.statedAt = integerMember(json, "at", 0);
    const bool isShare = result.share >= 0.0 && result.share <= 1.0;
    if (!state || service.empty() || result.targetVersion.empty() || result.orderVersion == 0 || !isShare)
        return error{error_code::invalid_argument, "a member is missing or out of range"};
    result.state = *state;
    return result;
}

} // namespace ivypier::edge
