#pragma once

#include "base/clock.h"
#include "relay/service_map.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Each account's limit, in units (calls or tokens), as this node sees it.
///
/// A bucket for the whole fleet fills with the account's rate up to its burst. This node's own calls are
/// taken from it at once, those of the other nodes when they tell. What others took late leaves a debt, so
/// that the rate holds in the long run. A second bucket bounds what this node alone may take in the meantime
/// to a few times its equal part.
class unit_quota
{
public:
    explicit unit_quota(const clock &time);

    /// Takes in the limits of a configuration. A lower limit takes away what was saved above it.
    void setAccounts(const std::vector<client_account> &accounts);

    /// The number of nodes that share the limits, at least 1, and whether this node hears what the others
    /// take.
    void setNodes(std::size_t count, bool hearsOthers);

    /// Takes units. Zero when they were there; otherwise nothing is taken, and the time until they may be
    /// there is given.
    duration take(const std::string &account, double units);

    /// Gives units back, of a call that did not run.
    void giveBack(const std::string &account, double units);

    /// Other nodes took units.
    void takenElsewhere(const std::string &account, double units);

    /// All that this node ever took, by account; only accounts with a limit.
    std::map<std::string, std::uint64_t> takenHere() const;

    /// True while the fleet's bucket of an account is less than half full: other nodes need to know soon what
    /// is taken here.
    bool isShort() const;

private:
    struct bucket
    {
        double perSecond = 0.0; ///< of the whole fleet; zero: no limit
        double burst = 0.0;
        double fleetUnits = 0.0;
        double ownUnits = 0.0;
        double taken = 0.0;
        double othersPerSecond = 0.0; ///< what other nodes take, over the last second or so
        time_point filledAt{};
    };

    double ownPart() const;
    double ownBurst(const bucket &which) const;
    void fill(bucket &which) const;
    void trim(bucket &which) const;

    const clock &m_time;
    std::size_t m_nodes;
    bool m_hearsOthers = false;
    std::map<std::string, bucket> m_buckets;
};

/// What one node may take of a limit, as a multiple of its equal part.
inline constexpr double own_part_factor = 2.0;

/// What a node that hears the others may save up of a limit beyond that: an ordinary large call of 20,000
/// tokens, a quarter of the burst at most. In a large fleet an equal part of the burst is less than one call.
/// It refills with the node's part of the rate, so all nodes together cannot go on so.
inline constexpr double saved_while_heard = 20000.0;
inline constexpr double saved_part_while_heard = 0.25;

/// How far below zero a bucket may go, in bursts: what others took late is not forgotten before.
inline constexpr double deepest_debt = 2.0;

/// Age of what other nodes told last, on average: the interval at which they tell and the way of the news.
inline constexpr duration telling_lag = std::chrono::milliseconds(700);

/// Nodes that a node counts on before it has found the others: when a large fleet starts again all at once, a
/// smaller number would let its nodes take many times a limit.
inline constexpr std::size_t assumed_node_count = 64;

} // namespace ivypier::relay
