#pragma once

#include "base/clock.h"

#include <array>
#include <cstdint>

namespace ivypier::fleet {

/// Number of the last intervals of `sent_interval` in which a node counts the calls that it sent.
inline constexpr std::size_t sent_intervals = 16;
inline constexpr duration sent_interval = std::chrono::milliseconds(250);

/// Calls that were sent to an upstream, by interval; the current interval is the first.
using sent_counts = std::array<std::uint32_t, sent_intervals>;

/// The permits of one upstream: a bucket for all calls, and a reserve that only continuations of streams draw
/// on. Both are refilled from the one rate that the upstream states. What one of them has no room for goes to
/// the other, so neither new calls nor continuations starve behind an endless supply of the other kind.
///
/// In any span of `t` seconds at most `capacity() + t * rate` calls get a permit. After more calls than that,
/// as when the rate falls, the reserve holds a debt, and nothing is granted until the rate has paid it.
class permit_bucket
{
public:
    /// Room for calls of all kinds: one call, and what the rate brings in this many seconds.
    static constexpr double saved_calls = 1.0;
    static constexpr double saved_seconds = 0.25;
    /// Room of the reserve, likewise.
    static constexpr double reserve_calls = 3.5;
    static constexpr double reserve_seconds = 1.5;
    /// Fraction of the rate that refills the reserve while neither is full.
    static constexpr double reserve_share = 0.5;
    /// New calls count as contending for permits for this long.
    static constexpr duration contention_time = std::chrono::seconds(1);

    /// Creates a full bucket. `callsPerSecond` must be positive.
    permit_bucket(double callsPerSecond, time_point now);

    /// Creates the bucket of a rate at which these calls were sent: a full one `sent_intervals` ago from
    /// which they were taken. Calls beyond the rate leave it with a debt of at most one such span.
    static permit_bucket afterCalls(double callsPerSecond, const sent_counts &sent, time_point now);

    /// Adds the permits of the time since the last call, at `share` of the rate.
    void refill(time_point now, double share);

    /// Takes the permit of a call, if there is one.
    bool take(bool isContinuation, time_point now);

    /// Returns a permit that a continuation took and did not use.
    void giveBack();

    /// Follows a change of the rate. A lower rate has room for fewer saved permits; those that are missing
    /// are a debt, as the calls of the last seconds were more than the lower rate allows.
    void setRate(double callsPerSecond);

    /// Keeps no more permits than `other` has.
    void limitTo(const permit_bucket &other);

    /// Returns the time until a new call gets a permit at `share` of the rate, if no other is sent meanwhile.
    duration timeForNewCall(double share) const;

    /// Returns the time until a continuation gets a permit, behind others that wait already.
    duration timeForContinuation(std::size_t waiting, double share, time_point now) const;

    double callsPerSecond() const
    {
        return m_rate;
    }
    /// Returns the largest number of calls that get a permit at one moment.
    double capacity() const
    {
        return roomForAll() + roomInReserve();
    }

private:
    double roomForAll() const
    {
        return saved_calls + saved_seconds * m_rate;
    }
    double roomInReserve() const
    {
        return reserve_calls + reserve_seconds * m_rate;
    }
    void add(double permits);
    void payDebt();
    double debt() const;

    double m_rate;
    double m_forAll;
    double m_reserve; ///< negative: a debt
    time_point m_refilledAt;
    time_point m_newCallAt; ///< when a new call asked last
};

} // namespace ivypier::fleet
