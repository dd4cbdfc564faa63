#include "base/log_event.h"
#include "simulated_caller.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <map>
#include <set>

// Whole fleets in virtual time: the daemons' own gateway, requests and entry code on five nodes, over fakes
// at the interfaces to the network, the upstreams and the membership. The oracle judges from the upstreams'
// record and from what callers were told. IVYPIER_SEED=<n> runs one seed again, IVYPIER_SEEDS=<n> the first
// n.

namespace {

using namespace ivypier;
using namespace ivypier::simulation;

constexpr std::uint64_t seed_count = 1000;
constexpr duration simulated_run_time = std::chrono::seconds(60);

std::vector<std::uint64_t> selectSeeds(std::uint64_t count)
{
    const char *one = std::getenv("IVYPIER_SEED");
    if (one)
        return {std::strtoull(one, nullptr, 10)};
    const char *more = std::getenv("IVYPIER_SEEDS");
    if (more)
        count = std::strtoull(more, nullptr, 10);
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
        seeds.push_back(seed);
    return seeds;
}

using caller_list = std::vector<std::shared_ptr<simulated_caller>>;

/// What must never be seen, from the records outside the system; empty: all is well.
std::string judge(const simulated_fleet &fleet, const caller_list &callers)
{
    std::map<std::string, std::vector<time_point>> runs;
    for (const upstream_event &each : fleet.upstreams.record())
        runs[each.request].push_back(each.at);
    for (const auto &caller : callers) {
        const std::string &part = caller->wanted().part;
        if (!caller->violation().empty())
            return part + ": " + caller->violation();
        if (!caller->wanted().repeatable) {
            std::size_t total = 0;
            for (const auto &[ticket, times] : runs) {
                if (ticket.ends_with('.' + part))
                    total += times.size();
            }
            if (total > 1)
                return part + ": may not be repeated and ran " + std::to_string(total) + " times";
        }
        for (const reported_outcome &told : caller->told()) {
            if (told.outcome != "not_run")
                continue;
            for (const time_point ranAt : runs[told.ticket]) {
                if (!caller->wanted().repeatable || ranAt <= told.at)
                    return part + ": told not_run (" + told.cause + "), and it ran";
            }
        }
    }
    return {};
}

request_spec randomRequest(random_source &random, std::size_t number)
{
    request_spec wanted;
    wanted.part = "r" + std::to_string(number);
    wanted.plain = random.uniform() < 0.5;
    wanted.streamed = !wanted.plain && random.uniform() < 0.7;
    wanted.repeatable = wanted.plain ? random.uniform() < 0.2 : random.uniform() < 0.8;
    if (random.uniform() < 0.4)
        wanted.conversation = "c" + std::to_string(random.index(3));
    wanted.sendsDuplicates = random.uniform() < 0.3;
    return wanted;
}

/// One fault at a random moment of the first six seconds.
void plan(simulated_fleet &fleet)
{
    const duration at = fromSeconds(fleet.random.uniform() * 6.0);
    const std::size_t node = fleet.random.index(simulated_fleet::node_count);
    const double kind = fleet.random.uniform();
    if (kind < 0.25) {
        fleet.time.after(at, [&fleet, node] { fleet.kill(node); });
    } else if (kind < 0.55) {
        const duration lasts = fromSeconds(fleet.random.uniform() * 8.0);
        fleet.time.after(at, [&fleet, node] { fleet.freeze(node); });
        fleet.time.after(at + lasts, [&fleet, node] { fleet.wake(node); });
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

/// What the runs of many seeds saw, to show that they reach what they are for.
struct coverage
{
    std::map<std::string, std::size_t> outcomes;
    double handovers = 0.0;

    void add(const simulated_fleet &fleet, const caller_list &callers)
    {
        for (const auto &caller : callers) {
            for (const reported_outcome &told : caller->told())
                ++outcomes[told.outcome];
        }
        for (const auto &node : fleet.nodes)
            handovers += node->metrics.value("ivypier_handovers_total", {{"result", "accepted"}});
    }
};

std::string runWithFaults(std::uint64_t seed, coverage &seen)
{
    simulated_fleet fleet(seed, {0.03, 0.05, 0.05}, {0.05, 0.15, 0.5});
    const caller_list callers = startCallers(fleet, 14);
    const std::size_t faults = 1 + fleet.random.index(4);
    for (std::size_t index = 0; index < faults; ++index)
        plan(fleet);
    fleet.time.advance(simulated_run_time);
    seen.add(fleet, callers);
    return judge(fleet, callers);
}

/// The order in which a conversation's calls ran, against the order in which they were sent.
std::string findOrderViolation(const simulated_fleet &fleet)
{
    std::map<std::string, std::string> last;
    for (const upstream_event &each : fleet.upstreams.record()) {
        const std::string part = each.request.substr(each.request.find('.') + 1);
        const std::size_t dash = part.find('-');
        if (dash == std::string::npos)
            continue;
        std::string &before = last[part.substr(0, dash)];
        if (part < before)
            return part + " ran after " + before;
        before = part;
    }
    return {};
}

/// Only planned stops: every request is answered, whole and in the order sent.
std::string runWithStops(std::uint64_t seed, coverage &seen)
{
    simulated_fleet fleet(seed, {}, {});
    caller_list callers;
    for (std::size_t conversation = 0; conversation < 3; ++conversation) {
        const bool plain = conversation != 0;
        for (std::size_t number = 0; number < 12; ++number) {
            const std::string name = "c" + std::to_string(conversation);
            const std::string part = name + '-' + std::to_string(100 + number);
            const bool streamed = !plain && number % 2 == 0;
            callers.push_back(std::make_shared<simulated_caller>(
                fleet, request_spec{part, plain, streamed, !plain, name, false}));
            // Each is sent after the one before has arrived.
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
    seen.add(fleet, callers);
    for (const auto &caller : callers) {
        // A caller whose look-up was older than the stop is refused and sends again under a new id.
        if (caller->told().empty())
            return caller->wanted().part + " has no outcome";
        const reported_outcome &told = caller->told().front();
        const bool refused = told.outcome == "not_run" && told.cause == "leaving";
        if (told.outcome != "answered" && !refused)
            return caller->wanted().part + ": " + told.outcome + " (" + told.cause + ")";
    }
    const std::string order = findOrderViolation(fleet);
    return order.empty() ? judge(fleet, callers) : order;
}

} // namespace

TEST_CASE("planned stops cut no request and keep the order of conversations", "[promise][promise-6]")
{
    configureLog("fuzz", log_level::error);
    coverage seen;
    const std::vector<std::uint64_t> seeds = selectSeeds(seed_count / 4);
    for (const std::uint64_t seed : seeds) {
        const std::string violation = runWithStops(seed, seen);
        if (!violation.empty())
            FAIL("IVYPIER_SEED=" << seed << ": " << violation);
    }
    if (seeds.size() > 1)
        CHECK(seen.handovers > 0);
}

TEST_CASE("whatever fails, no request runs twice, no not_run is false and no answer is foreign",
          "[promise][promise-4]")
{
    configureLog("fuzz", log_level::error);
    coverage seen;
    const std::vector<std::uint64_t> seeds = selectSeeds(seed_count);
    for (const std::uint64_t seed : seeds) {
        const std::string violation = runWithFaults(seed, seen);
        if (!violation.empty())
            FAIL("IVYPIER_SEED=" << seed << ": " << violation);
    }
    if (seeds.size() == 1)
        return;
    CHECK(seen.handovers > 0);
    for (const char *outcome : {"answered", "not_run", "unknown"})
        CHECK(seen.outcomes[outcome] > 0);
}
