#include "peer_feed_codec.h"

#include "base/base64.h"
#include "base/hash.h"
#include "base/json.h"

namespace ivypier::edge {

namespace {

Json::Value encodePacked(const packed_value &value)
{
    Json::Value json(Json::objectValue);
    json["base"] = toHex(value.base);
    json["digest"] = toHex(value.digest);
    json["parts"] = Json::Value(Json::arrayValue);
    for (const auto &[digest, content] : value.parts) {
        Json::Value part(Json::objectValue);
        part["digest"] = toHex(digest);
        part["content"] = encodeBase64(content);
        json["parts"].append(part);
    }
    return json;
}

outcome<packed_value> decodePacked(const Json::Value &json)
{
    packed_value result;
    result.base = fromHex(stringMember(json, "base"));
    result.digest = fromHex(stringMember(json, "digest"));
    for (const Json::Value &each : arrayMember(json, "parts")) {
        outcome<std::string> content = decodeBase64(stringMember(each, "content"));
        if (!content)
            return content.error();
        result.parts.emplace_back(fromHex(stringMember(each, "digest")), std::move(content.value()));
    }
    return result;
}

} // namespace

std::string encodeRows(const transferred_rows &rows)
{
    Json::Value json(Json::objectValue);
    json["version"] = Json::UInt64{rows.rows.version};
    json["rows"] = Json::Value(Json::arrayValue);
    for (const cloud::feed_row &each : rows.rows.rows) {
        Json::Value row(Json::objectValue);
        row["key"] = each.key;
        row["version"] = Json::UInt64{each.version};
        if (each.removed)
            row["removed"] = true;
        else if (const auto packed = rows.packed.find(each.key); packed != rows.packed.end())
            row["packed"] = encodePacked(packed->second);
        else
            row["value"] = each.value;
        json["rows"].append(row);
    }
    return writeJson(json);
}

outcome<transferred_rows> decodeRows(std::string_view text)
{
    const outcome<Json::Value> json = parseJson(text);
    if (!json)
        return json.error();
    if (!json.value().isObject())
        return error{error_code::invalid_argument, "peer feed response is not a JSON object"};
    transferred_rows result;
    result.rows.version = unsignedMember(json.value(), "version", 0);
    for (const Json::Value &each : arrayMember(json.value(), "rows")) {
        const std::string key = stringMember(each, "key");
        result.rows.rows.push_back({key, unsignedMember(each, "version", 0), stringMember(each, "value"),
                                    booleanMember(each, "removed")});
        if (!each.isMember("packed"))
            continue;
        outcome<packed_value> packed = decodePacked(objectMember(each, "packed"));
        if (!packed)
            return packed.error();
        result.packed.emplace(key, std::move(packed.value()));
    }
    return result;
}

} // namespace ivypier::edge
