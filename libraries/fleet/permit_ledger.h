#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "relay/call_permits.h"

#include <map>
#include <optional>
#include <string>

namespace ivypier::fleet {

/// Grants the permits of upstreams that stated a limit, on the one node that keeps the ledger of each.
///
/// A token bucket refills at the stated rate. It starts empty, and at a reduced rate, when nobody asked for a
/// while: another node may have kept the ledger until now, and may go on for nodes that do not know yet.
class permit_ledger
{
public:
    /// Seconds of the rate that may be saved while nobody asks, beside one call.
    static constexpr double saved_seconds = 0.25;
    /// Time without requests after which another node may have kept the ledger meanwhile.
    static constexpr duration handover_time = std::chrono::seconds(4);
    /// Fraction of the rate that is granted for `handover_time`.
    static constexpr double handover_share = 0.4;
    /// The limit ends when this many answers in a row do not state it, and no node was told it for
    /// `statement_lifetime`: an upstream may state it in some of its answers only.
    static constexpr int answers_to_end = 4;
    static constexpr duration statement_lifetime = std::chrono::seconds(1);
    /// Requests of all nodes above this rate are held back at the nodes.
    static constexpr double max_refusals_per_second = 200.0;
    static constexpr duration max_return_after = std::chrono::seconds(3);
    /// Ledgers that nobody asked for this long are dropped.
    static constexpr duration idle_retention = std::chrono::seconds(60);

    permit_ledger(const clock &time, random_source &randomness);

    /// Decides on a request by a node that was last told the limit `statedAgo`.
    relay::permit_decision request(const std::string &upstream, double callsPerSecond, duration statedAgo);

    /// Records that an answer stated the limit, or none.
    void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond);

    /// Returns the limit in force; nothing if the upstream is not known or its limit has ended.
    std::optional<double> limit(const std::string &upstream) const;

private:
    struct bucket
    {
        double callsPerSecond = 0.0; ///< 0: the limit has ended
        time_point statedAt{}; ///< or, for an ended limit, when it ended
        time_point keptSince{};
        time_point expectedAt{}; ///< last request, or the next one if the last was refused
        time_point refilledAt{};
        double permits = 0.0;
        double recentRefusals = 0.0; ///< per second, smoothed
        int answersWithout = 0;
    };

    double rateOf(const bucket &of) const;
    void refill(bucket &of) const;
    relay::permit_decision refuse(bucket &of) const;
    void startHandover(bucket &of) const;
    void forgetIdle();

    const clock &m_time;
    random_source &m_random;
    std::map<std::string, bucket> m_buckets;
};

} // namespace ivypier::fleet
