#pragma once

#include "base/clock.h"
#include "relay/call_quarantine.h"
#include "relay/quarantine_entry.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::relay {

/// The quarantine entries that a node knows, and what they mean for a call.
class quarantine_list
{
public:
    /// How long calls are not sent again after a suspicion that was not renewed.
    static constexpr duration suspicion_retention = std::chrono::seconds(60);
    /// Entries of one service. Above it those that refuse no call are dropped, then the oldest.
    static constexpr std::size_t max_entries = 256;

    struct known_entry
    {
        quarantine_entry entry;
        time_point learnedAt{}; ///< with this version
        time_point suspectedAt{}; ///< in this generation
    };

    explicit quarantine_list(const clock &time);

    /// Takes over an entry. Returns whether it is newer than the known one.
    bool apply(const quarantine_entry &entry);

    /// Returns the entry, or null if it is unknown.
    const known_entry *find(const std::string &service, const std::string &id) const;

    bool hasEntries(const std::string &service) const;

    /// Decides whether a call to a service may be sent.
    quarantine_decision decide(const std::string &service, const crash_key_list &keys) const;

    /// Returns the entries because of which a call is refused.
    std::vector<quarantine_entry> refusing(const std::string &service, const crash_key_list &keys) const;

    /// Returns whether an answer to the key may lift an entry.
    bool isOpen(const std::string &service, crash_key key) const;

    /// Returns since when all nodes have been told that these keys are suspected: now if they were not.
    time_point suspectedSince(const std::string &service, const crash_key_list &keys) const;

    /// Returns the entries of a service, including lifted ones.
    std::vector<known_entry> of(const std::string &service) const;

    /// Returns the entries of all services, including lifted ones.
    std::vector<quarantine_entry> all() const;

private:
    using entries_by_id = std::map<std::string, known_entry>;

    static void makeRoom(entries_by_id &entries);

    const clock &m_time;
    std::map<std::string, entries_by_id> m_services;
};

} // namespace ivypier::relay
