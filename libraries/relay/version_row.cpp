#include "relay/version_row.h"

#include "base/json.h"

namespace ivypier::relay {

std::string version_row::encode() const
{
    Json::Value json(Json::objectValue);
    json["versions"] = Json::Value(Json::arrayValue);
    for (const std::string &each : versions)
        json["versions"].append(each);
    json["era"] = Json::UInt64{era};
    json["complete_from"] = Json::Int64{completeFrom};
    json["written_at"] = Json::Int64{writtenAt};
    return writeJson(json);
}

outcome<version_row> version_row::decode(std::string_view text)
{
    const outcome<Json::Value> parsed = parseJson(text);
    if (!parsed)
        return parsed.error();
    const Json::Value &json = parsed.value();
    if (!json.isObject() || !json["versions"].isArray())
        return error{error_code::invalid_argument, "the row lists no versions"};
    version_row result;
    for (const Json::Value &each : json["versions"]) {
        if (!each.isString())
            return error{error_code::invalid_argument, "a version is not a text"};
        result.versions.insert(each.asString());
    }
    result.era = unsignedMember(json, "era", 0);
    result.completeFrom = integerMember(json, "complete_from", 0);
    result.writtenAt = integerMember(json, "written_at", 0);
    return result;
}

} // namespace ivypier::relay
