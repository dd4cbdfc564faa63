#include "base/random_source.h"
#include "fleet/permit_bucket.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <vector>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

/// An upstream may get 1.5 times its limit in each window, and this many calls more.
constexpr duration window = 4s;
constexpr double allowed_share = 1.5;
constexpr double allowed_extra = 5.0;

/// Limits over time, and the calls that got a permit.
class permit_history
{
public:
    void setLimit(time_point since, double callsPerSecond)
    {
        m_limits.emplace_back(since, callsPerSecond);
    }
    void recordPermit(time_point at)
    {
        m_permits.push_back(at);
    }

    /// Returns the most calls in a window, as a share of those allowed. A window whose calls all came before
    /// the limit changed is judged by the windows before it.
    double worstWindow() const
    {
        double worst = 0.0;
        for (std::size_t first = 0, last = 0; first < m_permits.size(); ++first) {
            while (last < m_permits.size() && m_permits[last] - m_permits[first] <= window)
                ++last;
            const bool isBeforeChange
                = std::any_of(m_limits.begin(), m_limits.end(), [&](const auto &change) {
                      return change.first >= m_permits[last - 1] && change.first <= m_permits[first] + window;
                  });
            if (isBeforeChange)
                continue;
            worst = std::max(worst, static_cast<double>(last - first) / allowedFrom(m_permits[first]));
        }
        return worst;
    }

    /// Returns the calls of the last intervals, as nodes report them.
    sent_counts sentLately(time_point now) const
    {
        sent_counts result{};
        for (const time_point each : m_permits) {
            const auto interval = static_cast<std::size_t>((now - each) / sent_interval);
            if (interval < sent_intervals)
                ++result[interval];
        }
        return result;
    }

private:
    double allowedFrom(time_point from) const
    {
        double calls = 0.0;
        time_point until = from + window;
        for (auto each = m_limits.rbegin(); each != m_limits.rend() && until > from; ++each) {
            const time_point since = std::clamp(each->first, from, until);
            calls += seconds(until - since) * each->second;
            until = since;
        }
        return std::floor(allowed_share * calls + allowed_extra);
    }

    std::vector<std::pair<time_point, double>> m_limits;
    std::vector<time_point> m_permits;
};

/// Calls that come in bursts and pauses, of both kinds.
class bursty_callers
{
public:
    bursty_callers(std::uint64_t seed, double callsPerSecond)
        : m_random(seed)
        , m_limit(callsPerSecond)
    {
        history.setLimit(now, callsPerSecond);
    }

    void run(permit_bucket &bucket, duration span)
    {
        const time_point end = now + span;
        while (now < end) {
            if (m_random.uniform() < 0.02)
                now += fromSeconds(5.0 * m_random.uniform());
            const bool isBurst = m_random.uniform() < 0.3;
            now += isBurst ? 1ms : fromSeconds(m_random.uniform() / m_limit);
            bucket.refill(now, 1.0);
            if (bucket.take(m_random.uniform() < 0.7, now))
                history.recordPermit(now);
        }
    }

    permit_history history;
    time_point now{};

private:
    seeded_random m_random;
    double m_limit;
};

} // namespace

TEST_CASE("the permits of a bucket stay within the limit in every window, at every rate")
{
    for (const double limit : {0.2, 0.4, 1.0, 1.9, 4.0, 20.0, 100.0, 1000.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            INFO("limit " << limit << ", seed " << seed);
            bursty_callers callers(seed, limit);
            permit_bucket bucket(limit, callers.now);
            callers.run(bucket, limit > 100.0 ? 60s : 600s);
            CHECK(callers.history.worstWindow() <= 1.0);
        }
    }
}

TEST_CASE("the permits of a bucket stay within a limit that changes")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        seeded_random randomness(seed);
        double limit = 8.0;
        bursty_callers callers(seed, limit);
        permit_bucket bucket(limit, callers.now);
        for (int change = 0; change < 100; ++change) {
            callers.run(bucket, fromSeconds(4.0 + 6.0 * randomness.uniform()));
            limit = std::pow(2.0, std::floor(8.0 * randomness.uniform()) - 1.0);
            bucket.refill(callers.now, 1.0);
            bucket.setRate(limit);
            callers.history.setLimit(callers.now, limit);
        }
        INFO("seed " << seed);
        CHECK(callers.history.worstWindow() <= 1.0);
    }
}

TEST_CASE("a bucket that another node opens from the calls of the last seconds stays within the limit")
{
    for (const double limit : {0.2, 1.0, 4.0, 20.0, 100.0}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            INFO("limit " << limit << ", seed " << seed);
            seeded_random randomness(seed);
            bursty_callers callers(seed, limit);
            permit_bucket bucket(limit, callers.now);
            for (int takeover = 0; takeover < 100; ++takeover) {
                callers.run(bucket, fromSeconds(3.0 * randomness.uniform()));
                bucket
                    = permit_bucket::afterCalls(limit, callers.history.sentLately(callers.now), callers.now);
            }
            CHECK(callers.history.worstWindow() <= 1.0);
        }
    }
}

TEST_CASE("new calls and continuations without end each get half of the permits")
{
    constexpr double limit = 4.0;
    time_point now{};
    permit_bucket bucket(limit, now);
    int newCalls = 0;
    int continuations = 0;
    const auto run = [&](duration span) {
        for (const time_point end = now + span; now < end; now += 10ms) {
            bucket.refill(now, 1.0);
            continuations += bucket.take(true, now) ? 1 : 0;
            newCalls += bucket.take(false, now) ? 1 : 0;
        }
    };
    run(10s);
    newCalls = continuations = 0;
    run(100s);
    CHECK(newCalls == Approx(0.5 * limit * 100.0).margin(3.0));
    CHECK(continuations == Approx(0.5 * limit * 100.0).margin(3.0));
}

TEST_CASE("what one kind of call leaves goes to the other")
{
    constexpr double limit = 4.0;
    const bool isContinuation = GENERATE(false, true);
    time_point now{};
    permit_bucket bucket(limit, now);
    int calls = 0;
    for (const time_point end = now + 100s; now < end; now += 10ms) {
        bucket.refill(now, 1.0);
        calls += bucket.take(isContinuation, now) ? 1 : 0;
    }
    CHECK(calls >= 0.97 * limit * 100.0);
}

TEST_CASE("a queued continuation gets its permit at the time that was estimated")
{
    constexpr double limit = 4.0;
    time_point now{};
    permit_bucket bucket(limit, now);
    while (bucket.take(true, now)) { }
    const duration estimate = bucket.timeForContinuation(3, 1.0, now);
    int permits = 0;
    while (permits < 4) {
        now += 1ms;
        bucket.refill(now, 1.0);
        permits += bucket.take(true, now) ? 1 : 0;
    }
    CHECK(seconds(now - time_point()) <= seconds(estimate) + 0.01);
    CHECK(seconds(now - time_point()) >= 0.5 * seconds(estimate));
}
