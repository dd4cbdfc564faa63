#include "peer_feed_codec.h"

#include "base/json.h"

namespace ivypier::edge {

std::string encodeVersionedRows(const cloud::versioned_rows &rows)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64{rows.version};
    json["rows"] = Json::Value(Json::arrayValue);
    for (const cloud::feed_row &each : rows.rows) {
        Json::Value row(Json::objectValue);
        row["key"] = each.key;
        row["version"] = Json::UInt64{each.version};
        if (each.removed)
            row["removed"] = true;
        else
            row["value"] = each.value;
        json["rows"].append(row);
    }
    return writeJson(json);
}

outcome<cloud::versioned_rows> decodeVersionedRows(std::string_view text)
{
    const outcome<Json::Value> json = parseJson(text);
    if (!json)
        return json.error();
    if (!json.value().isObject())
        return error{error_code::invalid_argument, "peer feed response is not a JSON object"};
    cloud::versioned_rows result;
    result.version = unsignedMember(json.value(), "version", 0);
    for (const Json::Value &each : arrayMember(json.value(), "rows"))
        result.rows.push_back({stringMember(each, "key"), unsignedMember(each, "version", 0),
                               stringMember(each, "value"), booleanMember(each, "removed")});
    return result;
}

} // namespace ivypier::edge
