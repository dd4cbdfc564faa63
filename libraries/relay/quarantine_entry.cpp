#include "relay/quarantine_entry.h"

#include "base/hash.h"
#include "base/json.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// Upstreams that an encoded entry names. An entry travels in a datagram.
constexpr std::size_t max_encoded_upstreams = 5;
constexpr std::uint64_t stages_per_generation = 4;
constexpr std::uint64_t trials_per_stage = 4;
static_assert(max_quarantine_trials < trials_per_stage);

outcome<crash_key_list> decodeKeys(const Json::Value &json)
{
    crash_key_list result;
    for (const Json::Value &each : json) {
        const std::uint64_t value = fromHex(stringOf(each));
        if (value == 0)
            return error{error_code::invalid_argument, "a key of a quarantine entry is malformed"};
        result.push_back({value});
    }
    std::sort(result.begin(), result.end());
    if (result.empty())
        return error{error_code::invalid_argument, "a quarantine entry has no keys"};
    return result;
}

} // namespace

std::string quarantine_entry::id() const
{
    std::string text = service;
    for (const crash_key each : keys)
        text.append(":").append(toHex(each.value));
    return toHex(hash64(text));
}

std::uint64_t quarantine_entry::version() const
{
    return (generation * stages_per_generation + static_cast<std::uint64_t>(stage)) * trials_per_stage
        + std::min<std::uint64_t>(trials, trials_per_stage - 1);
}

quarantine_entry quarantine_entry::at(quarantine_stage next) const
{
    quarantine_entry result = *this;
    if (stage == quarantine_stage::lifted)
        ++result.generation;
    result.stage = next;
    result.byOperator = false;
    return result;
}

std::string quarantine_entry::encode() const
{
    Json::Value json(Json::objectValue);
    json["service"] = service;
    json["stage"] = static_cast<Json::UInt>(stage);
    json["generation"] = Json::UInt64{generation};
    json["trials"] = Json::UInt64{trials};
    json["by_operator"] = byOperator;
    json["keys"] = Json::Value(Json::arrayValue);
    for (const crash_key each : keys)
        json["keys"].append(toHex(each.value));
    json["upstreams"] = Json::Value(Json::arrayValue);
    for (const std::string &each : upstreams) {
        if (json["upstreams"].size() < max_encoded_upstreams)
            json["upstreams"].append(each);
    }
    return writeJson(json);
}

outcome<quarantine_entry> quarantine_entry::decode(std::string_view text)
{
    const outcome<Json::Value> parsed = parseJson(text);
    if (!parsed)
        return parsed.error();
    const Json::Value &json = objectOf(parsed.value());
    const std::uint64_t stage = unsignedMember(json, "stage", 0);
    if (stage < static_cast<std::uint64_t>(quarantine_stage::suspected)
        || stage > static_cast<std::uint64_t>(quarantine_stage::lifted))
        return error{error_code::invalid_argument, "a quarantine entry is at an unknown stage"};
    outcome<crash_key_list> keys = decodeKeys(arrayMember(json, "keys"));
    if (!keys)
        return keys.error();
    quarantine_entry result;
    result.service = stringMember(json, "service");
    result.keys = std::move(keys.value());
    result.stage = static_cast<quarantine_stage>(stage);
    result.generation = static_cast<std::uint32_t>(unsignedMember(json, "generation", 0));
    result.trials = static_cast<std::uint32_t>(unsignedMember(json, "trials", 0));
    result.byOperator = booleanMember(json, "by_operator");
    for (const Json::Value &each : arrayMember(json, "upstreams"))
        result.upstreams.push_back(stringOf(each));
    return result;
}

} // namespace ivypier::relay
