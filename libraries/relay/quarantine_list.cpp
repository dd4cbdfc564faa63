#include "relay/quarantine_list.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

const char *eventName(quarantine_stage stage)
{
    switch (stage) {
    case quarantine_stage::suspected:
        return "quarantine.suspected";
    case quarantine_stage::convicted:
        return "quarantine.convicted";
    case quarantine_stage::lifted:
        return "quarantine.lifted";
    }
    return "";
}

void logEntry(const quarantine_entry &entry)
{
    std::string keys;
    for (const crash_key each : entry.keys)
        keys.append(keys.empty() ? "" : ",").append(toHex(each.value));
    std::string upstreams;
    for (const std::string &each : entry.upstreams)
        upstreams.append(upstreams.empty() ? "" : ",").append(each);
    log_event(log_level::warning, eventName(entry.stage))
        .with("service", entry.service)
        .with("entry", entry.id())
        .with("keys", keys)
        .with("ended", upstreams)
        .with("generation", static_cast<std::int64_t>(entry.generation))
        .with("trials", static_cast<std::int64_t>(entry.trials))
        .with("by_operator", entry.byOperator ? "yes" : "no")
        .write();
}

bool holdsAll(const crash_key_list &call, const crash_key_list &keys)
{
    return std::includes(call.begin(), call.end(), keys.begin(), keys.end());
}

} // namespace

quarantine_list::quarantine_list(const clock &time)
    : m_time(time)
{
}

bool quarantine_list::apply(const quarantine_entry &entry)
{
    entries_by_id &entries = m_services[entry.service];
    const auto [found, isNew] = entries.try_emplace(entry.id());
    known_entry &known = found->second;
    if (!isNew && known.entry.version() >= entry.version())
        return false;
    const bool isSameGeneration = !isNew && known.entry.generation == entry.generation;
    known = {entry, m_time.now(), isSameGeneration ? known.suspectedAt : m_time.now()};
    logEntry(entry);
    makeRoom(entries);
    return true;
}

void quarantine_list::makeRoom(entries_by_id &entries)
{
    if (entries.size() <= max_entries)
        return;
    const auto dropped
        = std::min_element(entries.begin(), entries.end(), [](const auto &left, const auto &right) {
              const auto rank = [](const known_entry &each) {
                  return std::pair(each.entry.stage == quarantine_stage::convicted, each.learnedAt);
              };
              return rank(left.second) < rank(right.second);
          });
    log_event(log_level::warning, "quarantine.dropped").with("entry", dropped->first).write();
    entries.erase(dropped);
}

const quarantine_list::known_entry *quarantine_list::find(const std::string &service,
                                                          const std::string &id) const
{
    const auto entries = m_services.find(service);
    if (entries == m_services.end())
        return nullptr;
    const auto found = entries->second.find(id);
    return found == entries->second.end() ? nullptr : &found->second;
}

bool quarantine_list::hasEntries(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && !found->second.empty();
}

quarantine_decision quarantine_list::decide(const std::string &service, const crash_key_list &keys) const
{
    quarantine_decision result = quarantine_decision::send;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return result;
    for (const auto &[id, known] : found->second) {
        if (known.entry.stage == quarantine_stage::lifted || !holdsAll(keys, known.entry.keys))
            continue;
        if (known.entry.stage == quarantine_stage::convicted)
            return quarantine_decision::refuse;
        if (m_time.now() - known.learnedAt <= suspicion_retention)
            result = quarantine_decision::send_once;
    }
    return result;
}

std::vector<quarantine_entry> quarantine_list::refusing(const std::string &service,
                                                        const crash_key_list &keys) const
{
    std::vector<quarantine_entry> result;
    for (const known_entry &each : of(service)) {
        if (each.entry.stage == quarantine_stage::convicted && holdsAll(keys, each.entry.keys))
            result.push_back(each.entry);
    }
    return result;
}

bool quarantine_list::isOpen(const std::string &service, crash_key key) const
{
    const auto found = m_services.find(service);
    return found != m_services.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const auto &each) {
               const known_entry &known = each.second;
               const bool isInForce = known.entry.stage == quarantine_stage::convicted
                   || (known.entry.stage == quarantine_stage::suspected
                       && m_time.now() - known.learnedAt <= suspicion_retention);
               return isInForce && std::binary_search(known.entry.keys.begin(), known.entry.keys.end(), key);
           });
}

time_point quarantine_list::suspectedSince(const std::string &service, const crash_key_list &keys) const
{
    // An entry with more keys has told of these as well.
    time_point result = m_time.now();
    for (const known_entry &each : of(service)) {
        if (each.entry.stage != quarantine_stage::lifted && holdsAll(each.entry.keys, keys))
            result = std::min(result, each.suspectedAt);
    }
    return result;
}

std::vector<quarantine_list::known_entry> quarantine_list::of(const std::string &service) const
{
    std::vector<known_entry> result;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return result;
    for (const auto &[id, known] : found->second)
        result.push_back(known);
    return result;
}

std::vector<quarantine_entry> quarantine_list::all() const
{
    std::vector<quarantine_entry> result;
    for (const auto &[service, entries] : m_services) {
        for (const auto &[id, known] : entries)
            result.push_back(known.entry);
    }
    return result;
}

} // namespace ivypier::relay
