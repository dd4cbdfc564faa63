#include "quarantine_control.h"

#include "base/hash.h"
#include "base/json.h"

#include <charconv>

namespace ivypier::edge {

namespace {

using relay::quarantine_entry;
using relay::quarantine_stage;

const char *nameOf(quarantine_stage stage)
{
    switch (stage) {
    case quarantine_stage::suspected:
        return "suspected";
    case quarantine_stage::convicted:
        return "convicted";
    case quarantine_stage::lifted:
        return "lifted";
    }
    return "";
}

Json::Value reportEntry(const relay::quarantine_list::known_entry &known, time_point now)
{
    Json::Value json(Json::objectValue);
    json["entry"] = known.entry.id();
    json["service"] = known.entry.service;
    json["stage"] = nameOf(known.entry.stage);
    json["keys"] = Json::Value(Json::arrayValue);
    for (const relay::crash_key each : known.entry.keys)
        json["keys"].append(toHex(each.value));
    json["upstreams"] = Json::Value(Json::arrayValue);
    for (const std::string &each : known.entry.upstreams)
        json["upstreams"].append(each);
    json["trials"] = known.entry.trials;
    json["by_operator"] = known.entry.byOperator;
    json["age_ms"] = Json::Int64{milliseconds(now - known.learnedAt)};
    return json;
}

} // namespace

quarantine_control::quarantine_control(const clock &time, fleet::crash_exchange &quarantine,
                                       const relay::crash_key_deriver &keys)
    : m_time(time)
    , m_quarantine(quarantine)
    , m_keys(keys)
{
}

Json::Value quarantine_control::report() const
{
    Json::Value result(Json::arrayValue);
    const relay::quarantine_list &entries = m_quarantine.entries();
    for (const quarantine_entry &each : entries.all()) {
        const auto *known = entries.find(each.service, each.id());
        if (known && each.stage != quarantine_stage::lifted)
            result.append(reportEntry(*known, m_time.now()));
    }
    return result;
}

outcome<void> quarantine_control::lift(std::string_view text)
{
    const outcome<Json::Value> parsed = parseJson(text);
    const std::string id = parsed ? stringMember(objectOf(parsed.value()), "entry") : std::string();
    if (id.empty())
        return error{error_code::invalid_argument, "no entry is named"};
    for (const quarantine_entry &each : m_quarantine.entries().all()) {
        if (each.id() != id || each.stage == quarantine_stage::lifted)
            continue;
        quarantine_entry lifted = each.at(quarantine_stage::lifted);
        lifted.byOperator = true;
        m_quarantine.publish(lifted);
        return success();
    }
    return error{error_code::not_found, "there is no such entry"};
}

outcome<void> quarantine_control::convict(std::string_view text)
{
    const outcome<Json::Value> parsed = parseJson(text);
    const Json::Value &json = parsed ? objectOf(parsed.value()) : Json::Value::nullSingleton();
    const std::string service = parsed ? stringMember(json, "service") : std::string();
    const std::string part = parsed ? stringMember(json, "part") : std::string();
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(part.data(), part.data() + part.size(), number, 16);
    if (service.empty() || part.empty() || failure != std::errc() || end != part.data() + part.size())
        return error{error_code::invalid_argument, "expected a service and a part in hexadecimal digits"};
    quarantine_entry entry{.service = service, .keys = {m_keys.partKey(number, service)}};
    if (const auto *known = m_quarantine.entries().find(service, entry.id()))
        entry = known->entry;
    entry = entry.at(quarantine_stage::convicted);
    entry.byOperator = true;
    m_quarantine.publish(entry);
    return success();
}

} // namespace ivypier::edge
