// An account that requests several times its limit with calls of very different sizes. Guards against
// refusing most of its short and urgent calls in favour of a few long ones, against a kind of call that
// starves, and against a limit that is exceeded because short calls pass more easily.

#include "test_cluster.h"

#include <catch2/catch.hpp>

#include <deque>
#include <iostream>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;

namespace {

constexpr double window_seconds = 8.0;
constexpr double overage = 0.1;
constexpr double tolerance_units = 110000.0;
constexpr duration step_time = 50ms;
/// Of the limit; accounts usually request this much.
constexpr double usual_demand = 1.0 / 1.8;

struct call_shape
{
    const char *name;
    double units;
    std::uint32_t priority;
    double share; ///< of the account's calls
    int requested = 0;
    int served = 0;
    int servedAtOnce = 0;
};

/// The kinds of calls of a deployment whose long reviews are its least urgent calls.
std::vector<call_shape> reviewShapes()
{
    return {{"review", 9240.0, 2, 0.29},
            {"explainer", 2400.0, 1, 0.20},
            {"hint", 1000.0, 0, 0.25},
            {"payment", 200.0, 0, 0.26}};
}

/// The kinds of calls of a deployment whose long briefs are its most urgent calls.
std::vector<call_shape> briefShapes()
{
    return {{"brief", 9240.0, 0, 0.24},
            {"notice", 2400.0, 1, 0.28},
            {"chat", 1000.0, 2, 0.20},
            {"quote", 200.0, 0, 0.28}};
}

/// Plays the calls of one account at random nodes. A refused call is sent once more with a probability of
/// 0.5.
struct hot_account
{
    hot_account(std::size_t nodes, std::vector<call_shape> kinds, std::uint64_t seed)
        : shapes(std::move(kinds))
        , cluster(nodes, seed, nodes > 100 ? 5 : 3)
        , perSecond(13000.0 * static_cast<double>(nodes))
    {
        double meanUnits = 0.0;
        for (const call_shape &each : shapes)
            meanUnits += each.share * each.units;
        usualCallsPerSecond = usual_demand * perSecond / meanUnits;
        for (const auto &each : cluster.nodes) {
            each->quota.setTolerance(tolerance_units);
            each->quota.setAccounts({{"hot", {}, std::nullopt, perSecond, perSecond, true, 1.0}});
            each->quota.setNodes(nodes);
        }
    }

    bool attempt(const call_shape &shape)
    {
        relay::unit_quota &quota = cluster.nodes[cluster.randomness.index(cluster.nodes.size())]->quota;
        if (quota.take("hot", shape.units, shape.priority) > duration::zero())
            return false;
        admittedInStep += shape.units;
        return true;
    }

    void send()
    {
        double drawn = cluster.randomness.uniform();
        std::size_t kind = 0;
        while (kind + 1 < shapes.size() && drawn >= shapes[kind].share)
            drawn -= shapes[kind++].share;
        call_shape &shape = shapes[kind];
        ++shape.requested;
        if (attempt(shape)) {
            ++shape.served;
            ++shape.servedAtOnce;
        } else if (cluster.randomness.uniform() < 0.5 && attempt(shape)) {
            ++shape.served;
        }
    }

    void advance(duration span, double demandFactor)
    {
        for (duration passed{}; passed < span; passed += step_time) {
            cluster.time.advance(step_time);
            cluster.updateQuotas();
            admittedInStep = 0.0;
            pendingCalls += demandFactor * usualCallsPerSecond * seconds(step_time);
            for (; pendingCalls >= 1.0; pendingCalls -= 1.0)
                send();
            countStep();
        }
    }

    void countStep()
    {
        steps.push_back(admittedInStep);
        inWindow += admittedInStep;
        if (seconds(step_time) * static_cast<double>(steps.size()) > window_seconds) {
            inWindow -= steps.front();
            steps.pop_front();
        }
        mostInWindow = std::max(mostInWindow, inWindow);
    }

    void resetCounts()
    {
        for (call_shape &each : shapes)
            each.requested = each.served = each.servedAtOnce = 0;
    }

    double maxInWindow() const
    {
        return (window_seconds * perSecond + perSecond) * (1.0 + overage) + tolerance_units;
    }

    double unitFraction() const
    {
        double requested = 0.0;
        double served = 0.0;
        for (const call_shape &each : shapes) {
            requested += each.requested * each.units;
            served += each.served * each.units;
        }
        return served / requested;
    }

    double servedFraction() const
    {
        int requested = 0;
        int served = 0;
        for (const call_shape &each : shapes) {
            requested += each.requested;
            served += each.served;
        }
        return static_cast<double>(served) / requested;
    }

    std::vector<call_shape> shapes;
    test_cluster cluster;
    double perSecond;
    double usualCallsPerSecond = 0.0;
    double pendingCalls = 0.0;
    double admittedInStep = 0.0;
    std::deque<double> steps;
    double inWindow = 0.0;
    double mostInWindow = 0.0;
};

double fractionOf(const call_shape &shape)
{
    return static_cast<double>(shape.served) / std::max(shape.requested, 1);
}

void checkKinds(const hot_account &run)
{
    for (const call_shape &each : run.shapes) {
        INFO(each.name << ": " << each.served << " of " << each.requested << ", all "
                       << run.servedFraction());
        // A kind that is served less than a quarter as often as all calls counts as starved.
        CHECK(fractionOf(each) >= 0.25 * run.servedFraction());
    }
}

} // namespace

TEST_CASE("an account that requests 5.8 times its usual keeps its limit and starves no kind of call")
{
    const std::size_t nodes = GENERATE(8, 73, 295);
    const bool longCallsAreUrgent = GENERATE(false, true);
    INFO(nodes << " nodes, long calls are " << (longCallsAreUrgent ? "urgent" : "not urgent"));
    hot_account run(nodes, longCallsAreUrgent ? briefShapes() : reviewShapes(), 11);
    run.advance(8s, 1.0);
    run.resetCounts();
    run.advance(6s, 5.8);
    CHECK(run.mostInWindow <= run.maxInWindow());
    checkKinds(run);
    // If calls of all sizes were refused alike, both fractions would be the same.
    CHECK(run.servedFraction() >= 1.3 * run.unitFraction());
    run.resetCounts();
    run.advance(8s, 1.0);
    CHECK(run.mostInWindow <= run.maxInWindow());
}

TEST_CASE("short and urgent calls of an account beyond its limit are served before long ones")
{
    hot_account run(73, reviewShapes(), 12);
    run.advance(8s, 1.0);
    run.resetCounts();
    run.advance(6s, 5.8);
    CHECK(fractionOf(run.shapes[3]) >= 0.9);
    CHECK(fractionOf(run.shapes[2]) >= fractionOf(run.shapes[1]));
    CHECK(fractionOf(run.shapes[1]) >= fractionOf(run.shapes[0]));
}

TEST_CASE("table of the calls of an account beyond its limit", "[.table]")
{
    std::cout << "nodes  kind       requested  served  at once  of the bound\n";
    for (const std::size_t nodes : {8, 73, 295, 1600}) {
        for (const auto &shapes : {reviewShapes(), briefShapes()}) {
            hot_account run(nodes, shapes, 11);
            run.advance(8s, 1.0);
            run.resetCounts();
            run.advance(6s, 5.8);
            for (const call_shape &each : run.shapes)
                std::cout << nodes << "  " << each.name << "  " << each.requested << "  " << fractionOf(each)
                          << "  " << static_cast<double>(each.servedAtOnce) / each.requested << "  "
                          << run.mostInWindow / run.maxInWindow() << '\n';
        }
    }
}
