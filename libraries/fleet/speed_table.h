#pragma once

#include "base/clock.h"
#include "fleet/metric_sample.h"
#include "membership/member.h"
#include "relay/speed_sums.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// How long sums of the speed of an upstream are kept that their sender does not renew.
inline constexpr duration speed_retention = std::chrono::seconds(20);

/// Number of rounds over which a message with the speeds of all upstreams is spread.
inline constexpr std::uint64_t min_speed_rounds = 8;

/// Largest number of speeds in one message, about 4 KB.
inline constexpr std::size_t max_speeds_per_message = 256;

/// Returns in how many rounds the speeds of `upstreams` are sent.
std::uint64_t speedRounds(std::size_t upstreams);

/// Returns true if the speed of an upstream is due in a round, of `rounds`.
bool isSpeedDue(const std::string &name, std::uint64_t round, std::uint64_t rounds);

/// Converts sums to a sample and back.
metric_sample toSample(metric_kind kind, const std::string &name, const relay::speed_sums &sums);
relay::speed_sums toSums(const metric_sample &sample);

/// Adds up the speeds of upstreams that nodes or collectors sent. The last sums of a sender replace earlier
/// ones.
class speed_table
{
public:
    explicit speed_table(const clock &time);

    void put(membership::incarnation sender, const metric_sample &sample);

    /// Drops the recent sums of a sender: each of its messages states all of them.
    void dropSlowdowns(membership::incarnation sender);

    void drop(membership::incarnation sender);

    /// Drops sums that were not renewed.
    void expire();

    void clear();

    /// Returns the sums over all senders of both tables except one: all recent ones, and the steady ones due
    /// in the round.
    static std::vector<metric_sample> totalsExcluding(membership::incarnation sender, std::uint64_t round,
                                                      const speed_table &own, const speed_table &domains);

    /// Returns the sums over all senders: all recent ones, and the steady ones due in the round.
    std::vector<metric_sample> totals(std::uint64_t round) const;

private:
    struct stored_sums
    {
        relay::speed_sums sums;
        time_point receivedAt{};
    };
    using sums_by_name = std::map<std::string, stored_sums>;
    using totals_by_name = std::map<std::string, relay::speed_sums>;
    struct sender_state
    {
        sums_by_name steady;
        sums_by_name recent;
    };

    static void subtract(totals_by_name &from, const std::string &name, const relay::speed_sums &sums);
    static std::vector<metric_sample> samplesOf(const totals_by_name &steady, const totals_by_name &recent,
                                                const sender_state &excluded, std::uint64_t round);

    const clock &m_time;
    std::map<membership::incarnation, sender_state> m_senders;
    totals_by_name m_steady;
    totals_by_name m_recent;
};

} // namespace ivypier::fleet
