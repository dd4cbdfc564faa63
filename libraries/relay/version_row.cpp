#include "relay/version_row.h"

#include "base/json.h"

#include <iterator>

namespace ivypier::relay {

namespace {

/// Stands for `version_slots::unconfirmed` in a row.
constexpr std::int64_t encoded_unconfirmed = -1;

/// Returns the slots as arrays of the length of a run, the index of its version and, unless it is 0, the time
/// from which it proves the version. Gossip carries the row, so it has to be short.
Json::Value encodeSlots(const version_slots &slots, const std::set<std::string> &versions)
{
    Json::Value result(Json::arrayValue);
    for (const version_slots::run &each : slots.runs()) {
        const auto index = std::distance(versions.begin(), versions.find(each.version));
        Json::Value run(Json::arrayValue);
        run.append(Json::UInt64{each.length});
        run.append(Json::Int64{index});
        if (each.provenFrom == version_slots::unconfirmed)
            run.append(Json::Int64{encoded_unconfirmed});
        else if (each.provenFrom > 0)
            run.append(Json::Int64{each.provenFrom});
        result.append(run);
    }
    return result;
}

outcome<version_slots> decodeSlots(const Json::Value &json, const std::set<std::string> &versions)
{
    std::vector<version_slots::run> runs;
    for (const Json::Value &each : arrayOf(json)) {
        const bool isRun = each.isArray() && each.size() >= 2 && each[0U].isUInt64() && each[1U].isUInt64()
            && (each.size() == 2 || each[2U].isInt64());
        if (!isRun || each[1U].asUInt64() >= versions.size())
            return error{error_code::invalid_argument, "a run of version slots is malformed"};
        const auto version = std::next(versions.begin(), static_cast<std::ptrdiff_t>(each[1U].asUInt64()));
        const std::int64_t provenFrom = each.size() > 2 ? each[2U].asInt64() : 0;
        runs.push_back(
            {*version, each[0U].asUInt64(), provenFrom < 0 ? version_slots::unconfirmed : provenFrom});
    }
    return runs.empty() ? outcome<version_slots>(version_slots{}) : version_slots::fromRuns(runs);
}

} // namespace

std::string version_row::encode() const
{
    Json::Value json(Json::objectValue);
    json["versions"] = Json::Value(Json::arrayValue);
    for (const std::string &each : versions)
        json["versions"].append(each);
    json["era"] = Json::UInt64{era};
    json["complete_from"] = Json::Int64{completeFrom};
    json["written_at"] = Json::Int64{writtenAt};
    if (!slots.isEmpty())
        json["slots"] = encodeSlots(slots, versions);
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
    outcome<version_slots> slots = decodeSlots(json["slots"], result.versions);
    if (!slots)
        return slots.error();
    result.slots = std::move(slots.value());
    return result;
}

} // namespace ivypier::relay
