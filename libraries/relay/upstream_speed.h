#pragma once

#include "base/clock.h"
#include "relay/service_timing.h"
#include "relay/speed_sums.h"
#include "relay/upstream_directory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace ivypier::relay {

/// Learns how slow each upstream is, compared with the others of its service, from this node's calls and from
/// the sums of the other nodes.
///
/// Each observation is a pair: the time that calls of the service take on average for the same work, and the
/// time that this upstream took. Two decayed sums of such pairs are kept: the steady one gives the speed of
/// the upstream, the recent one shows within a second that it became much slower than that. Docs:
/// docs/design/uneven-upstreams.md.
class upstream_speed
{
public:
    using remote_reader = std::function<remote_speed(const std::string &upstream)>;

    explicit upstream_speed(const clock &time);

    /// `sums` returns the sums of the other nodes.
    void setRemote(remote_reader sums);

    /// Records that a call was sent. `work`: prompt tokens that the upstream reads before the first event;
    /// nothing for a plain call. Returns a number for recordAnswerBegan() and recordUnanswered().
    std::uint64_t recordSent(const upstream_record &to, std::optional<double> work, double load);

    /// Records the first event of a stream, or the head of the answer to a plain call.
    void recordAnswerBegan(const upstream_record &from, std::uint64_t ticket);

    /// Records that a sent call ended before its answer began.
    void recordUnanswered(const upstream_record &from, std::uint64_t ticket);

    /// Records `events` further events of a stream, `elapsed` after the previous one.
    void recordEvents(const upstream_record &from, double load, std::uint64_t events, duration elapsed);

    /// Records that a call ended, `elapsed` after it was sent.
    void recordEnd(const upstream_record &from, duration elapsed);

    /// Returns the time that the upstream takes, as a multiple of the mean of its service. Includes a present
    /// slowdown, unless `isTrial` is set.
    double slowness(const std::string &upstream, bool isTrial = false);

    /// Returns how many times slower than usual the upstream is at present; 1 if it isn't.
    double slowdown(const std::string &upstream);

    const service_timing &timingOf(const std::string &service)
    {
        return m_services[service];
    }

    /// Returns this node's sums for an upstream as they are now: the steady ones, empty if too little is
    /// known, and the recent ones, empty unless the upstream became slow.
    remote_speed ownSums(const std::string &upstream) const;

    /// Returns the upstreams about which this node knows anything.
    std::vector<std::string> known() const;

    /// Forgets upstreams without calls for `retention`.
    void forgetIdle();

    static constexpr duration retention = std::chrono::minutes(2);

private:
    struct awaited_answer
    {
        time_point sentAt{};
        double expected = 0.0; ///< in milliseconds, at mean speed
        std::optional<double> work;
        double load = 0.0;
        bool hasSlot = false; ///< it did not have to wait for others to end
    };
    struct entry
    {
        speed_sums steady;
        speed_sums recent;
        int slowInRow = 0; ///< the last observations that took much longer than usual
        time_point decayedAt{};
        std::map<std::uint64_t, awaited_answer> awaited;
        double heldSlowdown = 1.0;
        time_point heldAt{};
    };

    entry &entryOf(const std::string &upstream);
    void decay(entry &of) const;
    double observe(const std::string &upstream, double expected, double observed);
    speed_sums recentWithOverdue(const entry &of, double steady) const;

    const clock &m_time;
    remote_reader m_remote;
    std::uint64_t m_lastTicket = 0;
    std::unordered_map<std::string, entry> m_upstreams;
    std::map<std::string, service_timing> m_services;
};

} // namespace ivypier::relay
