#include "follower_fleet.h"
#include "promise_seeds.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::configuration;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t fleet_size = 8;
constexpr duration max_propagation_time = 5s;

/// Starts eight nodes and waits until the first document is in force on all of them.
void startFleet(follower_fleet &fleet)
{
    fleet.submit(1, 0);
    for (std::size_t index = 0; index < fleet_size; ++index)
        fleet.start(index);
    REQUIRE(fleet.waitUntil(max_propagation_time,
                            [&] { return fleet.acceptedVersion() == 1 && fleet.allApplied(1); }));
}

/// Submits a document on the current version and waits until the head changes.
void submitAndWait(follower_fleet &fleet, int budget)
{
    const std::uint64_t base = fleet.acceptedVersion();
    fleet.submit(budget, base);
    REQUIRE(fleet.waitUntil(60s, [&] { return fleet.acceptedVersion() > base; }));
}

} // namespace

TEST_CASE("an accepted document is in force on all nodes within 5 s and versions never decrease",
          "[promise][promise-7]")
{
    for (const std::uint64_t seed : promiseSeeds()) {
        INFO("seed " << seed << " (IVYPIER_SEED reruns it)");
        follower_fleet fleet(seed);
        startFleet(fleet);
        fleet.platform.lostResponseRate = 0.2;
        fleet.platform.slowResponseRate = 0.2;
        for (int round = 2; round <= 7; ++round) {
            // Two operators submit concurrently on the same base version, while responses are lost or slow.
            const std::uint64_t base = fleet.acceptedVersion();
            fleet.submit(round, base);
            fleet.submit(round + 100, base);
            REQUIRE(fleet.waitUntil(60s, [&] { return fleet.acceptedVersion() > base; }));
            CHECK(fleet.acceptedVersion() == base + 1);
            CHECK(fleet.waitUntil(max_propagation_time, [&] { return fleet.allApplied(base + 1); }));
            fleet.time.advance(fromSeconds(fleet.randomness.uniform()));
        }
        CHECK(fleet.violations.empty());
    }
}

TEST_CASE("a node frozen or isolated during two changes applies the newest version and never an older one",
          "[promise][promise-7]")
{
    for (const std::uint64_t seed : promiseSeeds()) {
        INFO("seed " << seed << " (IVYPIER_SEED reruns it)");
        follower_fleet fleet(seed);
        startFleet(fleet);
        fleet.platform.slowResponseRate = 0.3;
        const std::size_t frozen = fleet.randomness.index(fleet_size);
        const std::size_t away = (frozen + 1) % fleet_size;
        submitAndWait(fleet, 2);
        fleet.time.advance(fromSeconds(0.5 * fleet.randomness.uniform())); // while the change propagates
        fleet.nodes[frozen]->tasks.pause();
        fleet.setIsolated(away, true);
        submitAndWait(fleet, 3);
        fleet.time.advance(fromSeconds(2.0 * fleet.randomness.uniform()));
        submitAndWait(fleet, 4);
        CHECK(fleet.waitUntil(max_propagation_time, [&] { return fleet.allApplied(4); }));
        fleet.nodes[frozen]->tasks.resume();
        fleet.setIsolated(away, false);
        CHECK(fleet.waitUntil(max_propagation_time, [&] { return fleet.allApplied(4); }));
        fleet.time.advance(10s);
        CHECK(fleet.violations.empty());
    }
}

TEST_CASE(
    "the document stays in force during a 10-minute platform outage, and restarted nodes get it from peers",
    "[promise][promise-7]")
{
    for (const std::uint64_t seed : promiseSeeds()) {
        INFO("seed " << seed << " (IVYPIER_SEED reruns it)");
        follower_fleet fleet(seed);
        startFleet(fleet);
        submitAndWait(fleet, 2);
        // The outage begins while the change propagates. At least one node must have it, or the others could
        // not get it from anywhere.
        REQUIRE(fleet.waitUntil(60s, [&] {
            return std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [](const auto &each) {
                return each->follower.current() && each->follower.current()->version == 2;
            });
        }));
        fleet.platform.down = true;
        CHECK(fleet.waitUntil(max_propagation_time, [&] { return fleet.allApplied(2); }));
        for (int restart = 0; restart < 4; ++restart) {
            fleet.time.advance(fromSeconds(140.0 * fleet.randomness.uniform()));
            const std::size_t index = fleet.randomness.index(fleet_size);
            fleet.stop(index);
            fleet.start(index);
            CHECK_FALSE(fleet.nodes[index]->follower.current());
            CHECK(fleet.waitUntil(max_propagation_time, [&] { return fleet.allApplied(2); }));
        }
        fleet.time.advance(fleet.nodes[0]->startedAt + 600s - fleet.time.now());
        fleet.platform.down = false;
        submitAndWait(fleet, 3);
        CHECK(fleet.waitUntil(max_propagation_time, [&] { return fleet.allApplied(3); }));
        CHECK(fleet.violations.empty());
    }
}

TEST_CASE("a new node that reaches neither the table nor peers has no document")
{
    follower_fleet fleet(1);
    startFleet(fleet);
    fleet.start(8);
    fleet.setIsolated(8, true);
    fleet.time.advance(60s);
    CHECK_FALSE(fleet.nodes[8]->follower.current());
    fleet.setIsolated(8, false);
    CHECK(fleet.waitUntil(5s, [&] { return fleet.nodes[8]->follower.current() != nullptr; }));
}

TEST_CASE("a table reset to an older version does not roll nodes back")
{
    follower_fleet fleet(1);
    startFleet(fleet);
    submitAndWait(fleet, 2);
    CHECK(fleet.waitUntil(5s, [&] { return fleet.allApplied(2); }));
    for (auto &[key, row] : fleet.platform.rows)
        row.version = 1;
    fleet.time.advance(60s);
    CHECK(fleet.allApplied(2));
    CHECK(fleet.violations.empty());
}
