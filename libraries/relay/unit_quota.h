#pragma once

#include "base/clock.h"
#include "relay/service_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// What one node may take of a limit, as a multiple of its equal part.
inline constexpr double node_share_factor = 2.0;

/// What a node that hears the others may save up of a limit beyond that: an ordinary large call of 20,000
/// tokens, a quarter of the burst at most. In a large fleet an equal part of the burst is less than one call.
/// It refills with the node's part of the rate, so all nodes together cannot go on so.
inline constexpr double node_burst_floor_units = 20000.0;
inline constexpr double node_burst_floor_max_fraction = 0.25;

/// How far below zero a bucket may go, in bursts: what others took late is not forgotten before.
inline constexpr double max_debt_bursts = 2.0;

/// Age of what other nodes told last, on average, before it is known: the interval at limit they tell and the
/// way of the news.
inline constexpr duration default_report_age = std::chrono::milliseconds(700);

/// Nodes that a node counts on before it has found the others: when a large fleet starts again all at once, a
/// smaller number would let its nodes take many times a limit.
inline constexpr std::size_t assumed_node_count = 64;

/// A limit is calm while less than this part of its rate is taken and its bucket is fuller than this part of
/// the burst. A node that hears the others is then not bound to its own part: large calls come to one of many
/// nodes now and then.
inline constexpr double low_use_rate_fraction = 0.8;
inline constexpr double low_use_fill_fraction = 0.5;

/// The others must have been heard for so long before that.
inline constexpr duration min_reporting_time = std::chrono::seconds(3);

/// Each account's limit, in units (calls or tokens), as this node sees it.
///
/// A bucket for the whole fleet fills with the account's rate up to its burst. This node's own calls are
/// taken from it at once, those of the other nodes when they tell. What others took late leaves a debt, so
/// that the rate holds in the long run. A second bucket bounds what this node alone may take until news
/// arrives to a few times its equal part; it is left aside while the limit is calm.
class unit_quota
{
public:
    explicit unit_quota(const clock &time);

    /// Takes in the limits of a configuration. A lower limit takes away what was saved above it.
    void setAccounts(const std::vector<client_account> &accounts);

    /// The number of nodes that share the limits, at least 1.
    void setNodes(std::size_t count);

    /// Whether this node hears what the others take, and how old their news is on average.
    void setRemoteReporting(bool receivesReports, duration reportAge);

    /// Takes units. Zero when they were there; otherwise nothing is taken, and the time until they may be
    /// there is given.
    duration take(const std::string &account, double units);

    /// Gives units back, of a call that did not run.
    void refund(const std::string &account, double units);

    /// Other nodes took units.
    void recordRemoteUsage(const std::string &account, double units);

    /// All that this node ever took, by account; only accounts with a limit.
    std::map<std::string, std::uint64_t> localUsage() const;

    /// True while the fleet's bucket of an account is less than half full: other nodes need to know soon what
    /// is taken here.
    bool isBelowHalf() const;

private:
    struct bucket
    {
        double perSecond = 0.0; ///< of the whole fleet; zero: no limit
        double burst = 0.0;
        double fleetUnits = 0.0;
        double nodeUnits = 0.0;
        double taken = 0.0;
        double remoteUnitsPerSecond = 0.0; ///< what other nodes take, over the last second or so
        double nodeUnitsPerSecond = 0.0; ///< what this node takes
        time_point refilledAt{};
    };

    double nodeShare() const;
    double nodeBurst(const bucket &limit) const;
    double unreportedRemoteUnits(const bucket &limit) const;
    bool hasLowUse(const bucket &limit) const;
    void refill(bucket &limit) const;
    void clampUnits(bucket &limit) const;

    const clock &m_time;
    std::size_t m_nodes;
    duration m_reportAge = default_report_age;
    std::optional<time_point> m_reportsSince;
    std::map<std::string, bucket> m_buckets;
};

} // namespace ivypier::relay
