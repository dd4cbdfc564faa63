#pragma once

#include "base/clock.h"
#include "membership/gossip_message.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::membership {

/// Holds the open suspicions at this node. A suspicion reported by a single failure domain has a long
/// timeout, which shrinks with each further domain that confirms it, so that a fault inside one domain
/// doesn't cause members elsewhere to be declared dead.
class suspicion_list
{
public:
    /// Records a suspicion by a node of `reporterDomain` (empty: unknown); `local` when this node reports it.
    /// Returns true when the suspicion or the confirming domain is new.
    bool reportSuspect(incarnation id, generation at, const std::string &reporterDomain, bool local,
                       time_point now);

    /// Removes the suspicion of a member.
    void forget(incarnation id);

    /// Restarts the timeout of every open suspicion: this process was suspended and may have missed
    /// refutations.
    void restartTimers(time_point now);

    /// Returns true when this node itself suspects this generation of the member.
    bool isSuspectedLocally(incarnation id, generation at) const;

    /// Returns the number of open suspicions that this node reported itself.
    std::size_t localCount() const;

    std::size_t size() const;

    /// Returns the members whose suspicion timed out, with the suspected generation. `domains` is the number
    /// of failure domains that can confirm a suspicion, `minTimeout` the timeout once enough of them have.
    std::vector<std::pair<incarnation, generation>> expired(time_point now, duration minTimeout,
                                                            std::size_t domains) const;

    /// Returns the maximum number of open suspicions that a node may report itself. A node whose probes of
    /// everyone fail is likely the cause itself.
    static std::size_t maxLocalSuspicions(std::size_t members);

    /// Returns the timeout of a suspicion that enough failure domains have confirmed.
    static duration minTimeout(std::size_t members);

private:
    struct suspicion
    {
        membership::generation generation = 0;
        std::set<std::string> domains;
        bool local = false;
        time_point startedAt;
    };

    std::map<incarnation, suspicion> m_open;
};

} // namespace ivypier::membership
