#include "limited_fleet.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace ivypier;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

namespace {

/// Fraction of the nodes that are killed at one moment.
constexpr double killed_share = 0.6;
/// Time after which the other nodes know that a node has ended.
constexpr duration detection_time = 1500ms;
/// Callers take their streams up this long after their node was killed.
constexpr duration return_time = 50ms;
/// Of the share of new calls that begin: streams that go on.
constexpr double min_relative_share = 0.5;
/// Most streams that callers take up at one moment.
constexpr std::size_t max_streams = 60;

/// Two upstreams of the version v1 name a limit, then nodes are killed, and callers take up streams of v1.
struct kill_plan
{
    std::size_t nodes = 8;
    double limit = 4.0; ///< calls a second, of each upstream of v1
    duration namedBefore = 3500ms; ///< from the first statement of the limit to the kill
    std::size_t killedKeepers = 2; ///< of the limited upstreams
    std::size_t streams = max_streams;
    bool hasOtherVersion = true; ///< there are upstreams of v2, without a limit
    double newCallsPerSecond = 6.0;
    std::optional<duration> secondKillAfter = std::nullopt;
    double limitAtKill = 0.0; ///< 0: it does not change
    bool isKeeperCut = false; ///< half of the nodes lose their path to the keepers at the kill

    auto operator<=>(const kill_plan &) const = default;
};

struct kill_result
{
    double wentOn = 0.0; ///< share of the streams that were taken up
    double begun = 0.0; ///< share of the new calls, from the kill on
    double worstWindow = 0.0; ///< calls of a limited upstream, of those allowed
};

class killed_fleet
{
public:
    explicit killed_fleet(const kill_plan &plan)
        : m_plan(plan)
        , m_fleet(plan.nodes, plan.hasOtherVersion ? 6 : 2, 71, policy::ledger, 2)
    {
        m_fleet.target = "/t/x";
        m_fleet.callerTimeout = 8s;
    }

    kill_result play()
    {
        m_fleet.run(4s, m_plan.newCallsPerSecond);
        for (const std::uint16_t port : limitedPorts())
            m_fleet.servers.setLimit(port, m_plan.limit);
        m_fleet.tellAll();
        m_fleet.run(m_plan.namedBefore, m_plan.newCallsPerSecond);
        const std::size_t answersBefore = m_fleet.answers.size();
        disrupt();
        m_fleet.time.advance(return_time);
        resumeStreams();
        if (m_plan.secondKillAfter) {
            m_fleet.run(*m_plan.secondKillAfter, m_plan.newCallsPerSecond);
            m_fleet.kill(chooseNodes(), detection_time);
            m_fleet.time.advance(return_time);
            resumeStreams();
        }
        m_fleet.run(10s, m_plan.newCallsPerSecond);
        return result(answersBefore);
    }

private:
    std::vector<std::uint16_t> limitedPorts() const
    {
        return {m_fleet.ports[0], m_fleet.ports[1]};
    }

    /// Returns the nodes to kill: as many keepers of limited upstreams as planned, and other nodes.
    std::set<std::size_t> chooseNodes()
    {
        std::set<std::size_t> keepers;
        for (const std::uint16_t port : limitedPorts())
            keepers.insert(m_fleet.keeperOf(port));
        std::vector<std::size_t> order;
        std::copy(keepers.begin(), keepers.end(), std::back_inserter(order));
        order.resize(std::min(order.size(), m_plan.killedKeepers));
        for (std::size_t index = 0; index < m_plan.nodes; ++index) {
            if (!keepers.contains(index))
                order.push_back(index);
        }
        const auto count
            = static_cast<std::size_t>(std::lround(killed_share * static_cast<double>(m_plan.nodes)));
        order.resize(std::min(order.size(), count));
        return {order.begin(), order.end()};
    }

    void disrupt()
    {
        if (m_plan.isKeeperCut) {
            std::set<std::size_t> side;
            for (std::size_t index = 0; index < m_plan.nodes; index += 2)
                side.insert(index);
            for (const std::uint16_t port : limitedPorts())
                side.erase(m_fleet.keeperOf(port));
            m_fleet.cut(side, detection_time);
            m_fleet.disturbed = side;
        }
        m_fleet.kill(chooseNodes(), detection_time);
        if (m_plan.limitAtKill > 0.0) {
            for (const std::uint16_t port : limitedPorts())
                m_fleet.servers.setLimit(port, m_plan.limitAtKill);
        }
    }

    void resumeStreams()
    {
        for (std::size_t taken = 0, index = 0; taken < m_plan.streams; ++index) {
            const std::size_t node = index % m_plan.nodes;
            if (m_fleet.killed.contains(node) || m_fleet.disturbed.contains(node))
                continue;
            m_resumed.push_back(m_fleet.resumeStream(node));
            ++taken;
        }
    }

    kill_result result(std::size_t answersBefore) const
    {
        const auto shareOfOk = [](auto first, auto last) {
            const auto ok = std::count_if(first, last, [](const auto &each) { return each->status == 200; });
            return static_cast<double>(ok) / std::max<double>(1.0, static_cast<double>(last - first));
        };
        kill_result result;
        result.wentOn = shareOfOk(m_resumed.begin(), m_resumed.end());
        result.begun = shareOfOk(m_fleet.answers.begin() + static_cast<std::ptrdiff_t>(answersBefore),
                                 m_fleet.answers.end());
        for (const std::uint16_t port : limitedPorts())
            result.worstWindow = std::max(result.worstWindow, m_fleet.servers.worstShare(port));
        return result;
    }

    kill_plan m_plan;
    relaying_fleet m_fleet;
    std::vector<std::shared_ptr<received_response>> m_resumed;
};

/// Returns the most streams, up to `max_streams`, for which the limits of two upstreams have room in one
/// window.
std::size_t streamsWithinRoom(double limit)
{
    const double room = 2 * std::floor(allowed_share * seconds(window) * limit + allowed_extra);
    return std::min(max_streams, static_cast<std::size_t>(room));
}

} // namespace

// Guards against streams that are refused after a kill while the limits of their upstreams have room for
// them.
TEST_CASE("streams go on at limited upstreams after most nodes were killed", "[slow]")
{
    kill_plan plan;
    plan.nodes = GENERATE(3, 8, 73);
    plan.limit = GENERATE(1.0, 4.0, 20.0, 100.0);
    plan.namedBefore = GENERATE(0ms, 500ms, 2000ms, 3500ms);
    plan.killedKeepers = GENERATE(0, 1, 2);
    plan.streams = streamsWithinRoom(plan.limit);
    INFO(plan.nodes << " nodes, limit " << plan.limit << ", named " << milliseconds(plan.namedBefore)
                    << " ms before, keepers killed " << plan.killedKeepers);
    const kill_result result = killed_fleet(plan).play();
    CHECK(result.begun >= 0.9);
    CHECK(result.wentOn >= min_relative_share * result.begun);
    CHECK(result.worstWindow <= 1.0);
}

TEST_CASE("streams go on at limited upstreams after most nodes of a large fleet were killed", "[slow]")
{
    kill_plan plan;
    plan.nodes = 295;
    plan.limit = GENERATE(1.0, 4.0, 100.0);
    plan.killedKeepers = GENERATE(0, 2);
    plan.streams = streamsWithinRoom(plan.limit);
    INFO("limit " << plan.limit << ", keepers killed " << plan.killedKeepers);
    const kill_result result = killed_fleet(plan).play();
    CHECK(result.begun >= 0.9);
    CHECK(result.wentOn >= min_relative_share * result.begun);
    CHECK(result.worstWindow <= 1.0);
}

TEST_CASE("limits hold when nodes are killed twice in a row, and streams go on", "[slow]")
{
    kill_plan plan;
    plan.nodes = GENERATE(8, 73);
    plan.limit = GENERATE(1.0, 4.0, 20.0, 100.0);
    plan.killedKeepers = GENERATE(0, 1, 2);
    plan.secondKillAfter = GENERATE(1600ms, 3000ms);
    plan.streams = streamsWithinRoom(plan.limit) / 2;
    INFO(plan.nodes << " nodes, limit " << plan.limit << ", keepers killed " << plan.killedKeepers
                    << ", again after " << milliseconds(*plan.secondKillAfter) << " ms");
    const kill_result result = killed_fleet(plan).play();
    CHECK(result.begun >= 0.9);
    CHECK(result.wentOn >= min_relative_share * result.begun);
    CHECK(result.worstWindow <= 1.0);
}

TEST_CASE("a limit that falls to a quarter at a kill holds", "[slow]")
{
    kill_plan plan;
    plan.nodes = GENERATE(8, 73);
    plan.limit = GENERATE(4.0, 20.0, 100.0);
    plan.limitAtKill = plan.limit / 4;
    plan.killedKeepers = GENERATE(0, 1, 2);
    plan.streams = streamsWithinRoom(plan.limitAtKill);
    INFO(plan.nodes << " nodes, limit " << plan.limit << ", keepers killed " << plan.killedKeepers);
    const kill_result result = killed_fleet(plan).play();
    CHECK(result.begun >= 0.9);
    CHECK(result.wentOn >= min_relative_share * result.begun);
    CHECK(result.worstWindow <= 1.0);
}

// The nodes that are cut off send no calls: the rule excuses them.
TEST_CASE("limits hold when nodes are killed while half of the others lose the keepers", "[slow]")
{
    kill_plan plan;
    plan.nodes = GENERATE(8, 73);
    plan.limit = GENERATE(4.0, 20.0);
    plan.killedKeepers = GENERATE(0, 1, 2);
    plan.isKeeperCut = true;
    plan.streams = streamsWithinRoom(plan.limit);
    INFO(plan.nodes << " nodes, limit " << plan.limit << ", keepers killed " << plan.killedKeepers);
    const kill_result result = killed_fleet(plan).play();
    CHECK(result.begun >= 0.9);
    CHECK(result.wentOn >= min_relative_share * result.begun);
    CHECK(result.worstWindow <= 1.0);
}

// Neither kind of call may starve the other while all upstreams of a service are limited.
TEST_CASE("new calls begin and streams go on while all upstreams are limited and nodes are killed", "[slow]")
{
    kill_plan plan;
    plan.nodes = GENERATE(3, 8, 73);
    plan.limit = GENERATE(4.0, 20.0, 100.0);
    plan.killedKeepers = GENERATE(0, 1, 2);
    plan.hasOtherVersion = false;
    plan.newCallsPerSecond = plan.limit; // half of what the two upstreams take
    plan.streams = streamsWithinRoom(plan.limit) / 2;
    INFO(plan.nodes << " nodes, limit " << plan.limit << ", keepers killed " << plan.killedKeepers);
    const kill_result result = killed_fleet(plan).play();
    CHECK(result.begun >= 0.5);
    CHECK(result.wentOn >= min_relative_share * result.begun);
    CHECK(result.worstWindow <= 1.0);
}

// Prints the table of docs/MEASUREMENTS.md.
TEST_CASE("streams at limited upstreams after a kill", "[.table]")
{
    std::printf("nodes limit named before  keepers killed  streams  went on  new begun  worst 4 s / bound\n");
    for (const std::size_t nodes : {3, 8, 73, 295}) {
        for (const double limit : {1.0, 4.0, 20.0, 100.0}) {
            for (const duration named : {duration(0ms), duration(500ms), duration(2s), duration(3500ms)}) {
                for (const std::size_t keepers : {0, 1, 2}) {
                    kill_plan plan;
                    plan.nodes = nodes;
                    plan.limit = limit;
                    plan.namedBefore = named;
                    plan.killedKeepers = keepers;
                    plan.streams = streamsWithinRoom(limit);
                    const kill_result result = killed_fleet(plan).play();
                    std::printf("%5zu %5.0f %9lld ms %15zu %8zu %8.2f %10.2f %18.2f\n", nodes, limit,
                                static_cast<long long>(milliseconds(named)), keepers, plan.streams,
                                result.wentOn, result.begun, result.worstWindow);
                }
            }
        }
    }
}
