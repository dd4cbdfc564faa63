#include "base/log_event.h"
#include "simulated_caller.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <map>
#include <set>

// Runs fleets of five nodes in virtual time. The nodes use the production code of the gateway, request and
// entry libraries; the network, the upstreams and the membership are fakes. Violations are found from outside
// the system: from the runs that the upstreams recorded and the outcomes that callers received.
// IVYPIER_SEED=<n> reruns one seed, IVYPIER_SEEDS=<n> runs seeds 1 to n.

namespace {

using namespace ivypier;
using namespace ivypier::simulation;

constexpr std::uint64_t seed_count = 1000;
constexpr duration simulated_run_time = std::chrono::seconds(60);

std::vector<std::uint64_t> selectSeeds(std::uint64_t count)
{
    const char *singleSeed = std::getenv("IVYPIER_SEED");
    if (singleSeed)
        return {std::strtoull(singleSeed, nullptr, 10)};
    const char *seedCount = std::getenv("IVYPIER_SEEDS");
    if (seedCount)
        count = std::strtoull(seedCount, nullptr, 10);
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
        seeds.push_back(seed);
    return seeds;
}

using caller_list = std::vector<std::shared_ptr<simulated_caller>>;

/// Returns a description of the first violation found: a wrong answer, a second run of a request that is not
/// repeatable, or a false not_run. Returns an empty string when there is none.
std::string findViolation(const simulated_fleet &fleet, const caller_list &callers)
{
    std::map<std::string, std::vector<time_point>> runs;
    for (const upstream_event &each : fleet.upstreams.record())
        runs[each.request].push_back(each.at);
    for (const auto &caller : callers) {
        const std::string &callerPart = caller->spec().callerPart;
        if (!caller->violation().empty())
            return callerPart + ": " + caller->violation();
        if (!caller->spec().repeatable) {
            std::size_t total = 0;
            for (const auto &[ticket, times] : runs) {
                if (ticket.ends_with('.' + callerPart))
                    total += times.size();
            }
            if (total > 1)
                return callerPart + ": is not repeatable but ran " + std::to_string(total) + " times";
        }
        for (const reported_outcome &reported : caller->reported()) {
            if (reported.outcome != "not_run")
                continue;
            for (const time_point ranAt : runs[reported.ticket]) {
                if (!caller->spec().repeatable || ranAt <= reported.at)
                    return callerPart + ": reported not_run (" + reported.cause + "), but it ran";
            }
        }
    }
    return {};
}

request_spec randomRequest(random_source &random, std::size_t number)
{
    request_spec spec;
    spec.callerPart = "r" + std::to_string(number);
    spec.plain = random.uniform() < 0.5;
    spec.streamed = !spec.plain && random.uniform() < 0.7;
    spec.repeatable = spec.plain ? random.uniform() < 0.2 : random.uniform() < 0.8;
    if (random.uniform() < 0.4)
        spec.conversation = "c" + std::to_string(random.index(3));
    spec.sendsDuplicates = random.uniform() < 0.3;
    return spec;
}

/// Schedules a random fault at a random time in the first six seconds: a node is killed, frozen for a while
/// or stopped with notice, or an engine is drained.
void scheduleFault(simulated_fleet &fleet)
{
    const duration at = fromSeconds(fleet.random.uniform() * 6.0);
    const std::size_t node = fleet.random.index(simulated_fleet::node_count);
    const double kind = fleet.random.uniform();
    if (kind < 0.25) {
        fleet.time.after(at, [&fleet, node] { fleet.kill(node); });
    } else if (kind < 0.55) {
        const duration frozenTime = fromSeconds(fleet.random.uniform() * 8.0);
        fleet.time.after(at, [&fleet, node] { fleet.freeze(node); });
        fleet.time.after(at + frozenTime, [&fleet, node] { fleet.unfreeze(node); });
    } else if (kind < 0.9) {
        const double notice = fleet.random.uniform() * 6.0;
        const bool killedEarly = fleet.random.uniform() < 0.4;
        fleet.time.after(at, [&fleet, node, notice] { fleet.stop(node, fromSeconds(notice)); });
        if (killedEarly)
            fleet.time.after(at + fromSeconds(notice * fleet.random.uniform()),
                             [&fleet, node] { fleet.kill(node); });
    } else {
        const std::size_t engine = fleet.random.index(simulated_fleet::engine_count);
        fleet.time.after(at, [&fleet, engine] { fleet.drainEngine(engine); });
    }
}

caller_list startCallers(simulated_fleet &fleet, std::size_t count)
{
    caller_list callers;
    for (std::size_t number = 0; number < count; ++number) {
        auto caller = std::make_shared<simulated_caller>(fleet, randomRequest(fleet.random, number));
        callers.push_back(caller);
        fleet.time.after(fromSeconds(fleet.random.uniform() * 6.0), [caller] { caller->start(); });
    }
    return callers;
}

/// Counts what happened in the runs of many seeds, to check that the tests reach the cases they are meant
/// for.
struct coverage
{
    std::map<std::string, std::size_t> outcomes;
    double handovers = 0.0;

    void add(const simulated_fleet &fleet, const caller_list &callers)
    {
        for (const auto &caller : callers) {
            for (const reported_outcome &reported : caller->reported())
                ++outcomes[reported.outcome];
        }
        for (const auto &node : fleet.nodes)
            handovers += node->metrics.value("ivypier_handovers_total", {{"result", "accepted"}});
    }
};

std::string runWithFaults(std::uint64_t seed, coverage &observed)
{
    simulated_fleet fleet(seed, {0.03, 0.05, 0.05}, {0.05, 0.15, 0.5});
    const caller_list callers = startCallers(fleet, 14);
    const std::size_t faults = 1 + fleet.random.index(4);
    for (std::size_t index = 0; index < faults; ++index)
        scheduleFault(fleet);
    fleet.time.advance(simulated_run_time);
    observed.add(fleet, callers);
    return findViolation(fleet, callers);
}

/// Returns a description of the first request that ran after a later one of its conversation. Returns an
/// empty string when there is none.
std::string findOrderViolation(const simulated_fleet &fleet)
{
    std::map<std::string, std::string> last;
    for (const upstream_event &each : fleet.upstreams.record()) {
        const std::string callerPart = each.request.substr(each.request.find('.') + 1);
        const std::size_t dash = callerPart.find('-');
        if (dash == std::string::npos)
            continue;
        std::string &before = last[callerPart.substr(0, dash)];
        if (callerPart < before)
            return callerPart + " ran after " + before;
        before = callerPart;
    }
    return {};
}

/// Runs a fleet in which two nodes stop with notice and nothing else fails. Every request must be answered
/// completely, and the requests of a conversation must run in the order in which they were sent.
std::string runWithStops(std::uint64_t seed, coverage &observed)
{
    simulated_fleet fleet(seed, {}, {});
    caller_list callers;
    for (std::size_t conversation = 0; conversation < 3; ++conversation) {
        const bool plain = conversation != 0;
        for (std::size_t number = 0; number < 12; ++number) {
            const std::string name = "c" + std::to_string(conversation);
            const std::string callerPart = name + '-' + std::to_string(100 + number);
            const bool streamed = !plain && number % 2 == 0;
            callers.push_back(std::make_shared<simulated_caller>(
                fleet, request_spec{callerPart, plain, streamed, !plain, name, false}));
            // The interval exceeds the network delay, so that each request arrives before the next is sent.
            fleet.time.after(std::chrono::milliseconds(100 * number + 20 * conversation),
                             [caller = callers.back()] { caller->start(); });
        }
    }
    for (std::size_t stops = 0; stops < 2; ++stops) {
        const duration at = fromSeconds(0.2 + fleet.random.uniform() + static_cast<double>(stops));
        const std::size_t node = (fleet.random.index(2) + 2 * stops) % simulated_fleet::node_count;
        fleet.time.after(at, [&fleet, node] { fleet.stop(node, std::chrono::seconds(5)); });
    }
    fleet.time.advance(simulated_run_time);
    observed.add(fleet, callers);
    for (const auto &caller : callers) {
        // A caller whose entry look-up predates the stop may be refused; it would send again with a new id.
        if (caller->reported().empty())
            return caller->spec().callerPart + " has no outcome";
        const reported_outcome &reported = caller->reported().front();
        const bool refused = reported.outcome == "not_run" && reported.cause == "leaving";
        if (reported.outcome != "answered" && !refused)
            return caller->spec().callerPart + ": " + reported.outcome + " (" + reported.cause + ")";
    }
    const std::string order = findOrderViolation(fleet);
    return order.empty() ? findViolation(fleet, callers) : order;
}

} // namespace

TEST_CASE("planned stops interrupt no request and preserve the order of conversations",
          "[promise][promise-6]")
{
    configureLog("fuzz", log_level::error);
    coverage observed;
    const std::vector<std::uint64_t> seeds = selectSeeds(seed_count / 4);
    for (const std::uint64_t seed : seeds) {
        const std::string violation = runWithStops(seed, observed);
        if (!violation.empty())
            FAIL("IVYPIER_SEED=" << seed << ": " << violation);
    }
    if (seeds.size() > 1)
        CHECK(observed.handovers > 0);
}

TEST_CASE("under faults, no request runs twice, no not_run is false and no answer belongs to another request",
          "[promise][promise-4]")
{
    configureLog("fuzz", log_level::error);
    coverage observed;
    const std::vector<std::uint64_t> seeds = selectSeeds(seed_count);
    for (const std::uint64_t seed : seeds) {
        const std::string violation = runWithFaults(seed, observed);
        if (!violation.empty())
            FAIL("IVYPIER_SEED=" << seed << ": " << violation);
    }
    if (seeds.size() == 1)
        return;
    CHECK(observed.handovers > 0);
    for (const char *outcome : {"answered", "not_run", "unknown"})
        CHECK(observed.outcomes[outcome] > 0);
}
