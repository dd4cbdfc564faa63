#include "placement/start_record.h"

#include "base/json.h"

namespace ivypier::placement {

std::string start_record::encode() const
{
    Json::Value json(Json::objectValue);
    json["next_token"] = Json::UInt64{nextToken};
    json["pending"] = Json::Value(Json::arrayValue);
    for (const pending_start &each : pending) {
        Json::Value entry(Json::objectValue);
        entry["token"] = each.token;
        entry["failure_domain"] = each.type.failureDomain;
        entry["machine_class"] = each.type.machineClass;
        entry["kind"] = std::string(cloud::name(each.type.kind));
        json["pending"].append(entry);
    }
    return writeJson(json);
}

outcome<start_record> start_record::decode(const std::string &text)
{
    const outcome<Json::Value> json = parseJson(text);
    if (!json)
        return json.error();
    if (!json.value().isObject())
        return error{error_code::invalid_argument, "the start record is not a JSON object"};
    start_record result;
    result.nextToken = unsignedMember(json.value(), "next_token", 1);
    for (const Json::Value &each : json.value()["pending"]) {
        const bool onDemand = stringMember(each, "kind") == cloud::name(cloud::vm_kind::on_demand);
        result.pending.push_back({stringMember(each, "token"),
                                  {stringMember(each, "failure_domain"), stringMember(each, "machine_class"),
                                   onDemand ? cloud::vm_kind::on_demand : cloud::vm_kind::reclaimable}});
    }
    return result;
}

} // namespace ivypier::placement
