#include "base/log_event.h"
#include "uneven_fleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <iomanip>
#include <iostream>

namespace ivypier::relay::tests {

namespace {

std::string nameOf(chooser each)
{
    switch (each) {
    case chooser::prefix_affinity:
        return "prefix_affinity";
    case chooser::expected_time:
        return "expected_time";
    case chooser::full_knowledge:
        return "full_knowledge";
    }
    return {};
}

void print(const std::string &setting, chooser selection, uneven_fleet &fleet)
{
    for (std::size_t index = 0; index < fleet.results.size(); ++index) {
        class_result &each = fleet.results[index];
        std::cout << std::left << std::setw(14) << setting << std::setw(17) << nameOf(selection)
                  << std::setw(10) << fleet.classes()[index].name << std::right << std::fixed
                  << std::setprecision(0) << "late " << std::setw(6) << each.late << " of " << std::setw(6)
                  << each.calls << "  p50 " << std::setw(5) << each.percentile(0.5) << "  p99 "
                  << std::setw(6) << each.percentile(0.99) << "  reread " << fleet.rereadTokens() / 6300.0
                  << '\n';
    }
    std::size_t before = 0;
    std::size_t during = 0;
    std::size_t after = 0;
    for (std::size_t index = 0; index < fleet.sentTo.size(); ++index) {
        for (const double at : fleet.sentTo[index]) {
            if (!fleet.isSlowEngine(index))
                continue;
            before += at >= 7500.0 && at < 12000.0 ? 1 : 0;
            during += at >= 14000.0 && at < 18500.0 ? 1 : 0;
            after += at >= 19500.0 && at < 24000.0 ? 1 : 0;
        }
    }
    std::cout << "to slow engines, in 4.5 s before, after 2 s, afterwards: " << before << ' ' << during << ' '
              << after << '\n';
}

/// Returns the calls that slow engines received between two times.
std::size_t callsToSlowEngines(const uneven_fleet &fleet, double fromS, double toS)
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < fleet.sentTo.size(); ++index) {
        for (const double at : fleet.sentTo[index])
            count += fleet.isSlowEngine(index) && at >= fromS * 1000.0 && at < toS * 1000.0 ? 1 : 0;
    }
    return count;
}

std::size_t lateCalls(chooser selection, const fleet_options &options)
{
    uneven_fleet fleet(selection, options);
    fleet.run();
    return fleet.total(&class_result::late);
}

} // namespace

TEST_CASE("late calls at uneven upstreams, by selector", "[.table][.uneven]")
{
    configureLog("tests", log_level::error);
    for (const std::size_t slow : {0, 1}) {
        for (const chooser selection :
             {chooser::prefix_affinity, chooser::expected_time, chooser::full_knowledge}) {
            fleet_options options;
            options.slowFactor = slow > 0 ? 7.5 : 1.0;
            uneven_fleet fleet(selection, options);
            fleet.run();
            print(slow > 0 ? "uneven, slow" : "uneven", selection, fleet);
        }
    }
    for (const chooser selection :
         {chooser::prefix_affinity, chooser::expected_time, chooser::full_knowledge}) {
        fleet_options options;
        options.slowFactor = 1.0;
        options.speeds = {1.0};
        uneven_fleet fleet(selection, options);
        fleet.run();
        print("alike", selection, fleet);
    }
}

// Guards against calls that pile up at slow upstreams: the target of the design page.
TEST_CASE("half of the late calls at uneven upstreams remain", "[.][uneven-late]")
{
    configureLog("tests", log_level::error);
    for (const std::uint64_t seed : {1, 2}) {
        fleet_options options;
        options.seed = seed;
        const std::size_t before = lateCalls(chooser::prefix_affinity, options);
        const std::size_t after = lateCalls(chooser::expected_time, options);
        INFO("seed " << seed << ", late by calls in flight " << before << ", by expected time " << after);
        CHECK(after * 2 <= before);
    }
}

// Guards against a selector that is worse than the former one where speeds differ.
TEST_CASE("fewer calls are late at uneven upstreams than with loads alone")
{
    configureLog("tests", log_level::error);
    fleet_options options;
    options.slowFactor = 1.0;
    options.durationS = 16.0;
    CHECK(lateCalls(chooser::expected_time, options) < lateCalls(chooser::prefix_affinity, options));
}

// Guards against an upstream that keeps its calls although it became slow, and against one that never gets
// calls again.
TEST_CASE("an upstream that became slow loses new calls within 2 s, keeps a trial share and comes back")
{
    configureLog("tests", log_level::error);
    const fleet_options options;
    uneven_fleet fleet(chooser::expected_time, options);
    fleet.run();
    const std::size_t before = callsToSlowEngines(fleet, options.slowFromS - 4.5, options.slowFromS);
    const std::size_t during = callsToSlowEngines(fleet, options.slowFromS + 2.0, options.slowToS);
    const std::size_t after = callsToSlowEngines(fleet, options.slowToS + 1.0, options.slowToS + 5.5);
    INFO("before " << before << ", slow " << during << ", after " << after);
    CHECK(during * 5 <= before);
    CHECK(during > 0);
    CHECK(after * 10 >= before * 7);
}

// Guards against costs for deployments whose upstreams are alike.
TEST_CASE("upstreams alike and not busy: no more shared parts are read again than with loads alone")
{
    configureLog("tests", log_level::error);
    fleet_options options;
    options.slowFactor = 1.0;
    options.speeds = {1.0};
    options.demand = 0.5;
    uneven_fleet before(chooser::prefix_affinity, options);
    before.run();
    uneven_fleet after(chooser::expected_time, options);
    after.run();
    INFO("read again " << before.rereadTokens() / 6300.0 << " and " << after.rereadTokens() / 6300.0);
    CHECK(after.rereadTokens() <= 1.02 * before.rereadTokens());
    CHECK(after.total(&class_result::late) <= before.total(&class_result::late) + 10);
}

// Guards against speeds that do harm when the loads beside them are old.
TEST_CASE("reports that are lost for 5 s make no more calls late than with loads alone")
{
    configureLog("tests", log_level::error);
    fleet_options options;
    options.slowFactor = 1.0;
    options.durationS = 18.0;
    options.reportsLostFromS = 8.0;
    options.reportsLostToS = 13.0;
    CHECK(lateCalls(chooser::expected_time, options) <= lateCalls(chooser::prefix_affinity, options));
}

TEST_CASE("time of one choice at 4,800 upstreams", "[.benchmark]")
{
    configureLog("tests", log_level::error);
    virtual_scheduler time;
    seeded_random randomness{3};
    upstream_directory upstreams{time};
    upstream_speed speeds{time};
    for (int index = 0; index < 4800; ++index)
        upstreams.put({"upstream-" + std::to_string(index),
                       "s",
                       {"10.0.0.1", 1},
                       "d" + std::to_string(index % 21),
                       12});
    speeds.setRemote([](const std::string &) { return remote_speed{{900.0, 1000.0}, {}}; });
    expected_time_selector selector(time, randomness, upstreams, speeds, "d1",
                                    [](const std::string &) { return 3.0; });
    const route matched;
    for (const bool hasParts : {true, false}) {
        call request;
        request.size = prompt_size{9190, 160, {}};
        constexpr int calls = 200'000;
        const auto choose = [&](int index) {
            if (hasParts)
                request.size->parts = {{static_cast<std::uint64_t>(index % 280), 6300}, {7, 2890}};
            return selector.select({&matched, &request, "s", {}, {}});
        };
        for (int index = 0; index < 280; ++index)
            choose(index); // ranks the upstreams for each prefix once
        const auto begin = std::chrono::steady_clock::now();
        for (int index = 0; index < calls; ++index)
            choose(index);
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
        std::cout << (hasParts ? "shared parts: " : "no parts: ") << spent.count() / calls
                  << " microseconds a choice\n";
    }
}

} // namespace ivypier::relay::tests
