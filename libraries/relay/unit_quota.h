#pragma once

#include "base/clock.h"
#include "relay/service_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// The share of an account's limit that one node may use, as a multiple of an equal split among the nodes.
inline constexpr double node_share_factor = 2.0;

/// While a node receives the other nodes' usage reports, its own bucket may hold at least this many units,
/// but no more than this fraction of the account's burst (unless the node's share is larger). 20,000 tokens
/// is a large but ordinary call; in a large fleet, an equal share of the burst is smaller than one such call.
/// The bucket still refills at the node's share of the rate, so the nodes together cannot exceed the limit
/// for long.
inline constexpr double node_burst_floor_units = 20000.0;
inline constexpr double node_burst_floor_max_fraction = 0.25;

/// Lower bound of a fleet bucket, as a negative multiple of the burst. Usage that other nodes report late
/// counts as debt down to this bound; any excess is dropped.
inline constexpr double max_debt_bursts = 2.0;

/// Assumed average age of usage reports from other nodes, until it is known: reporting interval plus network
/// delay.
inline constexpr duration default_report_age = std::chrono::milliseconds(700);

/// Number of nodes to assume before the other nodes are discovered. With a smaller number, the nodes of a
/// large fleet that restarts all at once would together use many times the limit.
inline constexpr std::size_t assumed_node_count = 64;

/// An account has low use while less than this fraction of its rate is used and its fleet bucket is filled
/// above this fraction of the burst. A node that receives reports is then not bound by its own bucket,
/// because large calls reach any single node only occasionally.
inline constexpr double low_use_rate_fraction = 0.8;
inline constexpr double low_use_fill_fraction = 0.5;

/// How long reports from other nodes must have been received before an account can count as having low use.
inline constexpr duration min_reporting_time = std::chrono::seconds(3);

/// Enforces each account's quota, in units (calls or tokens), as seen from this node.
///
/// The fleet bucket refills at the account's rate up to its burst. Calls on this node are deducted
/// immediately, calls on other nodes when these report them. Usage that is reported late leaves a debt, so
/// that the rate holds in the long run. The node bucket limits what this node may use before reports arrive
/// to a small multiple of its equal share; it is not enforced while the account has low use.
class unit_quota
{
public:
    explicit unit_quota(const clock &time);

    /// Applies the limits of a configuration. If a limit is lowered, units above the new burst are discarded.
    void setAccounts(const std::vector<client_account> &accounts);

    /// Sets the number of nodes that share the limits, at least 1.
    void setNodes(std::size_t count);

    /// Sets whether this node receives usage reports from other nodes, and their average age.
    void setRemoteReporting(bool receivesReports, duration reportAge);

    /// Takes units from the account's buckets. Returns zero on success or if the account has no limit.
    /// Otherwise takes nothing and returns the estimated time until enough units are available.
    duration take(const std::string &account, double units);

    /// Returns the units of a call that did not run to the account's buckets.
    void refund(const std::string &account, double units);

    /// Deducts units that other nodes reported as used.
    void recordRemoteUsage(const std::string &account, double units);

    /// Returns the total units used on this node, by account. Accounts without a limit are omitted.
    std::map<std::string, std::uint64_t> localUsage() const;

    /// Returns true if any account's fleet bucket is less than half full. Other nodes should then receive
    /// this node's usage soon.
    bool isBelowHalf() const;

private:
    struct bucket
    {
        double perSecond = 0.0; ///< fleet-wide rate; zero: no limit
        double burst = 0.0;
        double fleetUnits = 0.0;
        double nodeUnits = 0.0;
        double taken = 0.0;
        double remoteUnitsPerSecond = 0.0; ///< usage on other nodes, averaged over about one second
        double nodeUnitsPerSecond = 0.0; ///< usage on this node, averaged likewise
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
