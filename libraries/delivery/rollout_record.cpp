#include "delivery/rollout_record.h"

#include "base/json.h"

namespace ivypier::delivery {

std::string rollout_record::encode() const
{
    Json::Value object(Json::objectValue);
    object["order"] = Json::UInt64(orderVersion);
    object["target"] = targetVersion;
    object["state"] = std::string(name(state));
    object["share"] = share;
    object["elapsed"] = Json::Int64(elapsed);
    object["written"] = Json::Int64(writtenAt);
    object["tenure"] = Json::UInt64(tenure);
    object["sequence"] = Json::UInt64(sequence);
    object["status"] = Json::UInt64(statusVersion);
    object["reason"] = reason;
    return writeJson(object);
}

outcome<rollout_record> rollout_record::decode(std::string_view text)
{
    const outcome<Json::Value> parsed = parseJson(text);
    if (!parsed)
        return parsed.error();
    const Json::Value &object = objectOf(parsed.value());
    const std::optional<rollout_state> state = rolloutStateOf(stringMember(object, "state"));
    rollout_record result;
    result.orderVersion = unsignedMember(object, "order", 0);
    if (!state || result.orderVersion == 0)
        return error{error_code::invalid_argument, "a rollout record needs an order and a state"};
    result.targetVersion = stringMember(object, "target");
    result.state = *state;
    result.share = numberMember(object, "share", 0.0);
    result.elapsed = integerMember(object, "elapsed", 0);
    result.writtenAt = integerMember(object, "written", 0);
    result.tenure = unsignedMember(object, "tenure", 0);
    result.sequence = unsignedMember(object, "sequence", 0);
    result.statusVersion = unsignedMember(object, "status", 0);
    result.reason = stringMember(object, "reason");
    return result;
}

} // namespace ivypier::delivery
