#pragma once

#include "base/clock.h"
#include "membership/gossip_message.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::membership {

/// Open suspicions at this node. One lasts long while a single failure domain makes it, and ends sooner with
/// every further domain that confirms it, so that trouble inside one domain does not kill members elsewhere.
class suspicion_list
{
public:
    /// Takes an accusation by a node of `reporterDomain` (empty: not known whose); true when it tells
    /// something new.
    bool reportSuspect(incarnation id, generation at, const std::string &reporterDomain, bool local,
                       time_point now);

    /// Ends the suspicion of a member.
    void forget(incarnation id);

    /// Lets every open suspicion begin anew: this process was stopped and may have missed refutations.
    void restartTimers(time_point now);

    /// True when this node has accused this generation itself.
    bool isSuspectedLocally(incarnation id, generation at) const;

    /// Suspicions of this node's local making that are open.
    std::size_t localCount() const;

    std::size_t size() const;

    /// The members whose time is up, with the generation that was suspected. `domains` is the number of
    /// failure domains that could confirm, `minTimeout` the time when all of them have.
    std::vector<std::pair<incarnation, generation>> expired(time_point now, duration minTimeout,
                                                            std::size_t domains) const;

    /// Suspicions that a node may have open of its local making: one to which everyone seems silent is itself
    /// the likely cause.
    static std::size_t maxLocalSuspicions(std::size_t members);

    /// The time after which a suspicion ends that enough failure domains confirm.
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
