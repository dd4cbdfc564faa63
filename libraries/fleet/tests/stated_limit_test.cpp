#include "limited_fleet.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace ivypier;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

TEST_CASE("an upstream that names a limit gets no more than that from all nodes together", "[slow]")
{
    relaying_fleet fleet(8, 9, 21);
    fleet.run(5s, 50.0);
    fleet.servers.setLimit(9000, 1.5);
    fleet.servers.setLimit(9001, 1.9);
    fleet.run(30s, 50.0);
    CHECK(fleet.servers.worstShare(9000) <= 1.0);
    CHECK(fleet.servers.worstShare(9001) <= 1.0);
    CHECK(fleet.countAnswers(200) > fleet.answers.size() * 95 / 100);
}

namespace {

/// The share of the calls that the upstreams could have taken, and that they got, while callers were refused.
double usedShare(const relaying_fleet &of, time_point since)
{
    std::size_t got = 0;
    double could = 0.0;
    for (const std::uint16_t port : of.ports) {
        got += of.servers.arrivalsSince(port, since);
        could += of.servers.limits.at(port) * seconds(of.time.now() - since);
    }
    return static_cast<double>(got) / could;
}

double worstShare(const relaying_fleet &of)
{
    double worst = 0.0;
    for (const std::uint16_t port : of.ports)
        worst = std::max(worst, of.servers.worstShare(port));
    return worst;
}

void setLimits(relaying_fleet &of, double callsPerSecond)
{
    for (const std::uint16_t port : of.ports)
        of.servers.setLimit(port, callsPerSecond);
}

} // namespace

TEST_CASE("limits named by all upstreams hold in fleets of any size, and are used", "[slow]")
{
    const std::size_t nodes = GENERATE(8, 60, 295);
    const double limit = GENERATE(0.4, 1.5, 20.0, 400.0);
    INFO(nodes << " nodes, " << limit << " calls a second");
    relaying_fleet fleet(nodes, 3, 31);
    setLimits(fleet, limit);
    fleet.tellAll();
    const double demand = 3 * std::max(2.0 * limit, 30.0);
    fleet.run(8s, demand);
    const time_point since = fleet.time.now();
    fleet.run(40s, demand);
    CHECK(worstShare(fleet) <= 1.0);
    CHECK(usedShare(fleet, since) >= 0.9);
}

TEST_CASE("a limit of a fraction of a call a second holds before 1,600 nodes, and is used", "[slow]")
{
    const double limit = GENERATE(0.4, 20.0);
    INFO(limit << " calls a second");
    relaying_fleet fleet(1600, 3, 32);
    setLimits(fleet, limit);
    fleet.tellAll();
    const double demand = 3 * std::max(2.0 * limit, 30.0);
    fleet.run(20s, demand);
    const time_point since = fleet.time.now();
    fleet.run(30s, demand);
    CHECK(worstShare(fleet) <= 1.0);
    CHECK(usedShare(fleet, since) >= 0.9);
}

// Prints the table of docs/MEASUREMENTS.md.
TEST_CASE("limits of upstreams by policy", "[.table]")
{
    std::printf("nodes limit  policy       worst 4 s / bound  used while refusing\n");
    for (const std::size_t nodes : {8, 60, 295, 1600}) {
        for (const double limit : {0.4, 1.5, 20.0, 400.0}) {
            for (const auto &[name, chosen] : {std::pair{"ledger", policy::ledger},
                                               {"own bucket", policy::own_bucket},
                                               {"equal share", policy::equal_share}}) {
                relaying_fleet fleet(nodes, 3, 31, chosen);
                setLimits(fleet, limit);
                fleet.tellAll();
                const double demand = 3 * std::max(2.0 * limit, 30.0);
                fleet.run(10s, demand);
                const time_point since = fleet.time.now();
                fleet.run(30s, demand);
                std::printf("%5zu %5.1f  %-11s %19.2f %20.2f\n", nodes, limit, name, worstShare(fleet),
                            usedShare(fleet, since));
            }
        }
    }
}

TEST_CASE("a limit holds while nodes restart, keepers end and a third of the nodes is cut off", "[slow]")
{
    const double limit = GENERATE(0.4, 1.5, 20.0);
    const std::uint64_t seed = GENERATE(41, 42, 43, 44, 45);
    INFO(limit << " calls a second, seed " << seed);
    relaying_fleet fleet(24, 3, seed);
    setLimits(fleet, limit);
    fleet.run(8s, 200.0);
    for (int round = 0; round < 10; ++round) {
        fleet.disturb(round);
        fleet.run(3s, 200.0);
    }
    CHECK(worstShare(fleet) <= 1.0);
}

TEST_CASE("a limit that rises, falls, ends and comes back is followed", "[slow]")
{
    relaying_fleet fleet(24, 1, 51);
    const std::uint16_t port = fleet.ports.front();
    const auto rateOf = [&](duration span) {
        const time_point since = fleet.time.now();
        fleet.run(span, 100.0);
        return static_cast<double>(fleet.servers.arrivalsSince(port, since)) / seconds(span);
    };
    fleet.servers.setLimit(port, 4.0);
    fleet.run(8s, 100.0);
    CHECK(rateOf(10s) == Approx(4.0).epsilon(0.15));
    fleet.servers.setLimit(port, 20.0);
    fleet.run(2s, 100.0);
    CHECK(rateOf(10s) == Approx(20.0).epsilon(0.15));
    fleet.servers.setLimit(port, 2.0);
    fleet.run(2s, 100.0);
    CHECK(rateOf(10s) == Approx(2.0).epsilon(0.2));
    fleet.servers.limits.erase(port);
    fleet.run(5s, 100.0);
    CHECK(rateOf(10s) > 80.0);
    fleet.servers.setLimit(port, 2.0);
    fleet.run(8s, 100.0);
    CHECK(rateOf(10s) == Approx(2.0).epsilon(0.2));
}

TEST_CASE("a limit that only one answer in three names holds", "[slow]")
{
    const double limit = GENERATE(0.4, 1.5, 20.0, 400.0);
    INFO(limit << " calls a second");
    relaying_fleet fleet(24, 3, 61);
    fleet.servers.answersPerNaming = 3;
    setLimits(fleet, limit);
    const double demand = 3 * std::max(2.0 * limit, 30.0);
    fleet.run(8s, demand);
    const time_point since = fleet.time.now();
    fleet.run(40s, demand);
    CHECK(worstShare(fleet) <= 1.0);
    CHECK(usedShare(fleet, since) >= 0.9);
}
