#include "gossip_fleet.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::membership;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed_count = 20;

/// Advances the time by `span` and counts how often a running member considers another running one dead.
std::size_t countFalseDeaths(gossip_fleet &fleet, duration span)
{
    std::size_t count = 0;
    const time_point end = fleet.time.now() + span;
    while (fleet.time.now() < end) {
        fleet.time.advance(250ms);
        for (std::size_t seen = 0; seen < fleet.nodes.size(); ++seen) {
            if (!fleet.running(seen))
                continue;
            const incarnation id = fleet.nodes[seen]->membership.self().id;
            for (std::size_t by = 0; by < fleet.nodes.size(); ++by) {
                if (!fleet.running(by))
                    continue;
                const auto known = fleet.nodes[by]->membership.find(id);
                if (known && known->state == member_state::dead)
                    ++count;
            }
        }
    }
    return count;
}

} // namespace

TEST_CASE("every node declares a killed member dead within 10 s among 8 members and 15 s among 60")
{
    const std::size_t size = GENERATE(8, 60);
    const duration bound = size == 8 ? 10s : 15s;
    for (std::uint64_t seed = 1; seed <= (size == 8 ? seed_count : 4); ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        fleet.startAll(size);
        REQUIRE(fleet.allHaveMemberCount(size));
        const incarnation killed = fleet.nodes[3]->membership.self().id;
        fleet.nodes[3].reset();
        CHECK(fleet.waitUntil(bound, [&] { return fleet.allReportState(killed, member_state::dead); }));
    }
}

TEST_CASE("no live member is declared dead at 5% datagram loss")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        fleet.startAll(20);
        fleet.network.setLoss(0.05);
        CHECK(countFalseDeaths(fleet, 120s) == 0);
    }
}

TEST_CASE("a suspended member refutes its suspicion after it resumes")
{
    const duration pause = GENERATE(duration(3s), duration(30s));
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        INFO("seed " << seed << " pause " << seconds(pause));
        gossip_fleet fleet(seed);
        fleet.startAll(8);
        fleet.nodes[5]->tasks.pause();
        fleet.time.advance(pause);
        const incarnation frozen = fleet.nodes[5]->membership.self().id;
        CHECK((pause < 10s || fleet.allReportState(frozen, member_state::dead)));
        fleet.nodes[5]->tasks.resume();
        CHECK(fleet.waitUntil(10s, [&] { return fleet.allReportState(frozen, member_state::alive); }));
        CHECK(fleet.allHaveMemberCount(8));
        CHECK(countFalseDeaths(fleet, 20s) == 0);
    }
}

TEST_CASE("losing a failure domain with a third of 60 members causes no false deaths")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        fleet.startAll(60);
        fleet.network.setLoss(0.01);
        for (std::size_t index = 0; index < 60; index += 3)
            fleet.nodes[index].reset();
        CHECK(countFalseDeaths(fleet, 30s) == 0);
        CHECK(fleet.waitUntil(60s, [&] { return fleet.allHaveMemberCount(40); }));
    }
}

TEST_CASE("all members and facts are known everywhere again after a partition heals")
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        fleet.startAll(12);
        fleet.partition({0, 3, 6});
        CHECK(fleet.waitUntil(40s, [&] { return fleet.nodes[0]->membership.members().size() == 3; }));
        fleet.nodes[1]->membership.publish({"configuration", 5, "five"});
        fleet.nodes[0]->membership.publish({"leaving/10.9.9.9:1", 1, "vm-9"});
        fleet.time.advance(120s);
        fleet.heal();
        CHECK(fleet.waitUntil(30s, [&] { return fleet.allHaveMemberCount(12); }));
        CHECK(fleet.waitUntil(20s, [&] {
            for (const auto &each : fleet.nodes) {
                if (!each->membership.findFact("configuration")
                    || !each->membership.findFact("leaving/10.9.9.9:1"))
                    return false;
            }
            return true;
        }));
    }
}

TEST_CASE("a fact reaches all of 200 members within 3 s, and the newest version wins")
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        fleet.startAll(200);
        REQUIRE(fleet.allHaveMemberCount(200));
        fleet.time.advance(20s);
        fleet.nodes[7]->membership.publish({"configuration", 2, "two"});
        fleet.nodes[8]->membership.publish({"configuration", 1, "one"});
        const auto reached = [&] {
            for (const auto &each : fleet.nodes) {
                if (each->membership.findFact("configuration") != fact{"configuration", 2, "two"})
                    return false;
            }
            return true;
        };
        CHECK(fleet.waitUntil(3s, reached));
        CHECK(fleet.network.longestDatagram() <= max_datagram_bytes);
    }
}

TEST_CASE("notices for all 228 upstreams of a failure domain reach a region of 267 members within 3 s")
{
    gossip_fleet fleet(1);
    fleet.startAll(267);
    REQUIRE(fleet.allHaveMemberCount(267));
    fleet.time.advance(60s);
    for (std::size_t index = 0; index < 228; ++index)
        fleet.nodes[index]->membership.publish(
            {"leaving/10.9.0." + std::to_string(index) + ":9100", 1, "vm"});
    CHECK(fleet.waitUntil(3s, [&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                           [](const auto &each) { return each->membership.facts("leaving/").size() == 228; });
    }));
    CHECK(fleet.network.longestDatagram() <= max_datagram_bytes);
}

TEST_CASE("a leaving member is seen as leaving within 1 s and as dead without failure detection")
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        fleet.startAll(8);
        const incarnation leaver = fleet.nodes[2]->membership.self().id;
        fleet.nodes[2]->membership.leave();
        CHECK(fleet.waitUntil(1s, [&] { return fleet.allReportState(leaver, member_state::leaving); }));
        fleet.nodes[2]->membership.announceStop();
        fleet.time.advance(1s);
        fleet.nodes[2].reset();
        CHECK(fleet.allReportState(leaver, member_state::dead));
    }
}

TEST_CASE("a restarted node replaces its earlier incarnation at the same address")
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        fleet.startAll(8);
        const incarnation earlier = fleet.nodes[4]->membership.self().id;
        fleet.start(4, gossip_fleet::domainOf(4));
        CHECK(fleet.waitUntil(10s, [&] {
            return fleet.allHaveMemberCount(8)
                && fleet.allReportState(fleet.nodes[4]->membership.self().id, member_state::alive);
        }));
        for (const auto &each : fleet.nodes) {
            const auto known = each->membership.find(earlier);
            CHECK((!known || known->state == member_state::dead));
        }
    }
}

TEST_CASE("a node is isolated until the platform or a peer answers")
{
    gossip_fleet fleet(1);
    fleet.start(0, "hall-a");
    gossip_membership &first = fleet.nodes[0]->membership;
    fleet.time.advance(1s);
    CHECK(first.isolated());
    first.recordPlatformResponse();
    CHECK_FALSE(first.isolated());
    fleet.time.advance(6s);
    CHECK(first.isolated());
    fleet.start(1, "hall-b");
    fleet.time.advance(3s);
    CHECK_FALSE(first.isolated());
}

TEST_CASE("datagrams of another fleet are ignored")
{
    gossip_fleet fleet(1);
    fleet.startAll(3);
    fleet.key = secret_key::fromPassphrase("fleet key of somebody else").value();
    fleet.start(3, "hall-a");
    fleet.time.advance(30s);
    CHECK(fleet.nodes[0]->membership.members().size() == 3);
    CHECK(fleet.nodes[3]->membership.members().size() == 1);
}

TEST_CASE("regions exchange domain summaries and facts")
{
    gossip_fleet fleet(3);
    for (std::size_t index = 0; index < 18; ++index)
        fleet.start(index, "r" + std::to_string(index % 2) + "-" + gossip_fleet::domainOf(index / 2),
                    index % 2 == 0 ? "accra" : "almaty");
    const auto summariesOf = [&](std::size_t index) {
        std::uint32_t members = 0;
        for (const domain_summary &each : fleet.nodes[index]->membership.otherRegions())
            members += each.members;
        return members;
    };
    CHECK(fleet.waitUntil(
        60s, [&] { return fleet.allHaveMemberCount(9) && summariesOf(4) == 9 && summariesOf(5) == 9; }));
    fleet.nodes[4]->membership.publish({"configuration", 3, "three"});
    CHECK(fleet.waitUntil(10s, [&] {
        return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [](const auto &each) {
            return each->membership.findFact("configuration").has_value();
        });
    }));
}

TEST_CASE("members of a region without seeds of its own discover each other")
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        INFO("seed " << seed);
        gossip_fleet fleet(seed);
        for (std::size_t index = 0; index < 9; ++index)
            fleet.start(index, index < 3 ? "hall-a" : "hall-b", index < 3 ? "accra" : "almaty");
        CHECK(fleet.waitUntil(60s, [&] {
            for (std::size_t index = 0; index < 9; ++index) {
                if (fleet.nodes[index]->membership.memberCount() != (index < 3 ? 3U : 6U))
                    return false;
            }
            return true;
        }));
    }
}
