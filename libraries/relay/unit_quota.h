#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "relay/admission_threshold.h"
#include "relay/service_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Lower bound of a fleet bucket, as a negative multiple of the burst. Usage that other nodes report late
/// counts as debt down to this bound; any excess is dropped.
inline constexpr double max_debt_bursts = 2.0;

/// Assumed average age of usage reports from other nodes, until it is known: reporting interval plus network
/// delay.
inline constexpr duration default_report_age = std::chrono::milliseconds(700);

/// Number of nodes to assume before the other nodes are discovered. With a smaller number, the nodes of a
/// large fleet that restarts all at once would together use many times the limit.
inline constexpr std::size_t assumed_node_count = 64;

/// How long after its start a node without reports from other nodes uses the fleet bucket. After that it
/// counts as cut off and uses only its equal share.
inline constexpr duration quota_start_time = std::chrono::seconds(2);

/// The part of the burst that all nodes together may use at once when all of them have just started and do
/// not know of each other's usage.
inline constexpr double start_burst_fraction = 0.5;

/// The part of the tolerance of a limit that all nodes together may use at any time. It keeps imprecise
/// estimates from refusing the calls of accounts whose limit is a few calls; the rest covers late reports.
inline constexpr double used_tolerance_fraction = 0.2;

/// A node that admitted more than this many calls since the last reports assumes that the usage of the other
/// nodes rose in proportion.
inline constexpr double expected_unreported_calls = 0.5;

/// The fraction of an account's units that is admitted while its bucket does not cover a call on one of many
/// nodes. It admits the shortest calls, which matter little to the limit: the error of the estimate of what
/// other nodes used is larger.
inline constexpr double short_call_fraction = 0.05;

/// What a decision about an account's quota was based on.
struct quota_state
{
    double fleetUnits = 0.0; ///< in the fleet bucket; negative: a debt
    double remoteUnitsPerSecond = 0.0; ///< recent usage on other nodes
    double silentFraction = 0.0;
    duration reportAge{}; ///< average age of the other nodes' reports
    double admissionProbability = 1.0; ///< of the last call that did not fit into the bucket as a whole
    bool isCutOff = false; ///< no reports of other nodes arrive

    auto operator<=>(const quota_state &) const = default;
};

/// Enforces each account's quota, in units (calls or tokens), as seen from this node.
///
/// The fleet bucket refills at the account's rate up to its burst. Calls on this node are deducted
/// immediately, calls on other nodes when these report them; usage that is reported late leaves a debt, so
/// that the rate holds in the long run. The decision depends on what is known of the other nodes:
/// - While reports arrive, a call is admitted if the bucket covers it and what the other nodes probably used
///   since their reports. If all nodes together are asked for more than the bucket will hold, each admits the
///   same fraction of the units, the shorter and the more urgent calls first (admission_threshold).
/// - A node that has just started, and has no reports yet or has had them for less than their age, assumes
///   that each node admitted as much as itself, as all may have started together. It always admits the first
///   call of an account: most accounts send to few nodes in that time.
/// - A node that is cut off admits its equal share of the rate. A share that is smaller than a call admits it
///   with the probability of the ratio, so the shares of all cut off nodes add up to their part of the limit.
/// - The share of nodes that stopped reporting is withheld from the bucket, because they may be serving on
///   the other side of a cut.
/// So the nodes together stay within the limit whichever of them are cut off, and for how long.
class unit_quota
{
public:
    unit_quota(const clock &time, random_source &randomness);

    /// Applies the limits of a configuration. If a limit is lowered, units above the new burst are discarded.
    void setAccounts(const std::vector<client_account> &accounts);

    /// Sets by how many units an account may exceed its limit within the window in which limits are enforced.
    void setTolerance(double units);

    /// Sets the number of nodes that share the limits, at least 1, including those that are cut off.
    void setNodes(std::size_t count);

    /// Sets whether this node receives usage reports from other nodes, and their average age.
    void setRemoteReporting(bool receivesReports, duration reportAge);

    /// Sets which fraction of the nodes has stopped reporting without leaving, 0 to 1, and how long such a
    /// node was silent before it was counted.
    void setSilentFraction(double fraction, duration detectionTime);

    /// Takes units from the account's buckets. Returns zero on success or if the account has no limit.
    /// Otherwise takes nothing and returns the estimated time until enough units are available. `priority`
    /// is that of the call, 0 is the highest.
    duration take(const std::string &account, double units, std::uint32_t priority = 0);

    /// Returns the units of a call that did not run to the account's buckets.
    void refund(const std::string &account, double units);

    /// Deducts units that other nodes reported as used.
    void recordRemoteUsage(const std::string &account, double units);

    /// Notes units that other nodes reported as refused.
    void recordRemoteRefusals(const std::string &account, double units);

    /// Returns the present state of an account's quota; all zero for an account without a limit.
    quota_state stateOf(const std::string &account) const;

    /// Returns the total units used on this node, by account. Accounts without a limit are omitted.
    std::map<std::string, std::uint64_t> localUsage() const;

    /// Returns the total units refused on this node, by account. Accounts without refusals are omitted.
    std::map<std::string, std::uint64_t> localRefusals() const;

private:
    /// An exponentially decaying rate in units per second.
    struct decaying_rate
    {
        duration timeConstant = std::chrono::seconds(1);
        double perSecond = 0.0;

        void add(double units);
        void decay(duration elapsed);
    };

    struct bucket
    {
        double perSecond = 0.0; ///< fleet-wide rate; zero: no limit
        double burst = 0.0;
        double fleetUnits = 0.0;
        double shareUnits = 0.0; ///< this node's share while it is cut off
        double withheldUnits = 0.0; ///< deducted from fleetUnits for the nodes that stopped reporting
        double admissionCredit = 0.0; ///< calls that may be admitted while only a fraction is
        admission_threshold threshold;
        double admissionProbability = 1.0; ///< of the last call that was not covered
        double taken = 0.0;
        double refused = 0.0;
        decaying_rate remoteUsage;
        decaying_rate remoteRefusals;
        decaying_rate localUsage;
        decaying_rate localRefusals;
        /// Long-term rates, which tell this node's part of the account's usage.
        decaying_rate remoteUsageTrend{std::chrono::seconds(10)};
        decaying_rate localUsageTrend{std::chrono::seconds(10)};
        time_point refilledAt{};
    };

    bool isCutOff() const;
    bool isStarting() const;
    duration takeAtStart(bucket &limit, double units);
    duration takeShare(bucket &limit, double units);
    duration takeFromFleet(bucket &limit, double units, double weightedUnits);
    duration admit(bucket &limit, double units);
    double unreportedUnits(const bucket &limit, double units) const;
    double admittedFraction(const bucket &limit, double available) const;
    static bool admitsFraction(bucket &limit, double weightedUnits, double fraction);
    void refill(bucket &limit) const;
    void clampUnits(bucket &limit) const;
    void refillAll();

    const clock &m_time;
    random_source &m_random;
    std::size_t m_nodes;
    duration m_reportAge = default_report_age;
    double m_tolerance = 0.0;
    double m_silentFraction = 0.0;
    bool m_receivesReports = false;
    std::optional<time_point> m_firstReportAt;
    time_point m_startedAt;
    std::map<std::string, bucket> m_buckets;
};

} // namespace ivypier::relay
