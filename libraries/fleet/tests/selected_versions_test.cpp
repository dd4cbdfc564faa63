#include "released_fleet.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

namespace {

const std::set<std::string> two_versions{"v1", "v2"};
/// Of the streams that are resumed while upstreams of their version serve: those that go on.
constexpr double min_continued_share = 0.9;

double streamsPerSecond(std::size_t nodes)
{
    return std::min(8.0 * static_cast<double>(nodes), 400.0);
}

void silence(released_fleet &fleet)
{
    fleet.table.faults.lostRequest = 1.0;
}

/// Kills all nodes; the table responds again `silentFor` later. Callers come back for 12 s.
void killAll(released_fleet &fleet, duration silentFor = 1500ms)
{
    fleet.time.after(silentFor, [&table = fleet.table] { table.faults.lostRequest = 0.0; });
    fleet.killAll();
    fleet.time.advance(12s);
}

/// Checks what LOST asks for, with a margin, and that no stream was joined.
void checkContinued(const released_fleet &fleet)
{
    REQUIRE(fleet.result.resumed >= 12);
    CHECK(fleet.continuedShare() >= min_continued_share);
    CHECK(fleet.result.joined == 0);
}

std::size_t countOf(const released_fleet &fleet, const std::string &proof)
{
    const auto found = fleet.knownBy.find(proof);
    return found == fleet.knownBy.end() ? 0 : found->second;
}

relay::version_slots slotsInTable(const released_fleet &fleet)
{
    const auto row = fleet.table.find("versions/s");
    return row ? relay::version_row::decode(row->value).value().slots : relay::version_slots{};
}

} // namespace

// review/4: no stream that began while the table was silent had a stored record.
TEST_CASE("streams that began while the table was silent go on after the loss of all nodes", "[selection]")
{
    for (const std::size_t nodes : {3U, 8U, 73U, 295U}) {
        for (const auto since : {10ms, 100ms, 400ms, 1000ms, 4000ms}) {
            INFO(nodes << " nodes, killed after " << since.count() << " ms");
            released_fleet fleet(nodes, nodes, two_versions);
            fleet.run(2s, streamsPerSecond(nodes));
            silence(fleet);
            fleet.run(since, streamsPerSecond(nodes));
            // As many streams are to be resumed as the rule asks for.
            REQUIRE(fleet.streams.size() >= 12);
            killAll(fleet);
            checkContinued(fleet);
        }
    }
}

TEST_CASE("streams that began during the silence alone go on, and none is refused while both versions serve",
          "[selection]")
{
    for (const std::size_t nodes : {3U, 8U, 73U, 295U}) {
        INFO(nodes << " nodes");
        released_fleet fleet(nodes, nodes, two_versions);
        fleet.time.advance(2s);
        silence(fleet);
        fleet.run(3s, streamsPerSecond(nodes));
        killAll(fleet);
        REQUIRE(fleet.result.resumed >= 12);
        CHECK(fleet.continuedShare() >= min_continued_share);
        CHECK(fleet.result.joined == 0);
        CHECK(fleet.result.refused == 0);
        CHECK(countOf(fleet, "selected_version") >= fleet.result.continued / 2);
    }
}

TEST_CASE("a stream that went on by its selected version goes on again", "[selection]")
{
    for (const std::size_t nodes : {3U, 8U, 73U}) {
        INFO(nodes << " nodes");
        released_fleet fleet(nodes, 1, two_versions);
        fleet.time.advance(2s);
        silence(fleet);
        fleet.run(2s, streamsPerSecond(nodes));
        killAll(fleet, 1100ms);
        const auto first = fleet.result;
        fleet.result = {};
        silence(fleet);
        fleet.killAll();
        fleet.time.after(1100ms, [&table = fleet.table] { table.faults.lostRequest = 0.0; });
        fleet.time.advance(6s);
        REQUIRE(first.resumed >= 12);
        CHECK(first.joined + fleet.result.joined == 0);
        // Callers that came back late have no time for another try.
        CHECK(fleet.result.continued > 0);
    }
}

TEST_CASE("streams go on after the loss of all nodes while the table is slow", "[selection]")
{
    for (const std::size_t nodes : {3U, 8U, 73U, 295U}) {
        for (const auto since : {400ms, 4000ms}) {
            INFO(nodes << " nodes, " << since.count() << " ms");
            released_fleet fleet(nodes, nodes, two_versions);
            fleet.run(2s, streamsPerSecond(nodes));
            fleet.table.faults.maxDelay = 800ms;
            fleet.run(since, streamsPerSecond(nodes));
            killAll(fleet);
            checkContinued(fleet);
        }
    }
}

TEST_CASE("streams are not joined when responses of the table are lost or its calls are applied late",
          "[selection]")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        for (const bool isLate : {false, true}) {
            INFO("seed " << seed << (isLate ? " late" : " lost"));
            released_fleet fleet(8, seed, two_versions);
            fleet.run(2s, streamsPerSecond(8));
            (isLate ? fleet.table.faults.lateCall : fleet.table.faults.lostAnswer) = 0.5;
            fleet.run(2s, streamsPerSecond(8));
            fleet.table.faults.lostAnswer = isLate ? 0.0 : 1.0;
            fleet.run(1s, streamsPerSecond(8));
            fleet.table.faults = {};
            killAll(fleet);
            checkContinued(fleet);
        }
    }
}

TEST_CASE("a version that loses its upstreams gives up its slots, which prove nothing for minutes",
          "[selection]")
{
    std::size_t moved = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (const auto since : {0ms, 500ms, 2000ms}) {
            INFO("seed " << seed << ", " << since.count() << " ms");
            released_fleet fleet(8, seed, {"v1", "v2", "v3"});
            fleet.run(2s, streamsPerSecond(8));
            const relay::version_slots before = slotsInTable(fleet);
            fleet.setServing("v3", false);
            fleet.time.advance(9s);
            CHECK(slotsInTable(fleet) == before);
            // The row is written late, conflicts, and is read late by some nodes.
            fleet.table.faults.maxDelay = 600ms;
            fleet.table.faults.lostAnswer = 0.3;
            fleet.run(3s + since, streamsPerSecond(8));
            fleet.setServing("v3", true); // its upstreams are back, and get none of the slots at once
            fleet.run(1s, streamsPerSecond(8));
            silence(fleet);
            fleet.run(2s, streamsPerSecond(8));
            fleet.table.faults.maxDelay = 20ms;
            fleet.table.faults.lostAnswer = 0.0;
            killAll(fleet);
            moved += slotsInTable(fleet) == before ? 0 : 1;
            CHECK(fleet.result.joined == 0);
            // A third of the slots moved.
            CHECK(fleet.continuedShare() >= 0.5);
        }
    }
    CHECK(moved >= 8); // not if the row was written too late
}

TEST_CASE("a slot that moved proves its new version once all streams of before have ended", "[selection]")
{
    released_fleet fleet(8, 3, {"v1", "v2", "v3"});
    fleet.run(2s, streamsPerSecond(8));
    fleet.setServing("v3", false);
    fleet.run(14s, 4.0);
    const relay::version_slots moved = slotsInTable(fleet);
    std::size_t moving = 0;
    for (const auto &each : moved.runs())
        moving += each.provenFrom > fleet.time.wallMilliseconds() ? each.length : 0;
    CHECK(moving > 0);
    fleet.run(relay::version_register::version_retention, 2.0);
    fleet.run(3s, streamsPerSecond(8));
    silence(fleet);
    fleet.run(2s, streamsPerSecond(8));
    killAll(fleet);
    checkContinued(fleet);
    CHECK(countOf(fleet, "selected_version") > 0);
}

TEST_CASE("nodes that hold different rows when the silence begins join no stream", "[selection]")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        INFO("seed " << seed);
        released_fleet fleet(8, seed, two_versions);
        fleet.run(1s, streamsPerSecond(8));
        fleet.setServing("v2", false);
        fleet.time.advance(relay::version_register::abandoned_slots_delay - 1s
                           + std::chrono::milliseconds(200 * seed));
        // Some nodes have heard of the new row, others have not.
        silence(fleet);
        fleet.setServing("v2", true);
        fleet.run(3s, streamsPerSecond(8));
        killAll(fleet);
        CHECK(fleet.result.joined == 0);
    }
}

TEST_CASE("a third version that appears during the silence gets no streams that can't go on", "[selection]")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO("seed " << seed);
        released_fleet fleet(8, seed, two_versions);
        fleet.run(2s, streamsPerSecond(8));
        silence(fleet);
        fleet.run(500ms, streamsPerSecond(8));
        fleet.setServing("v3", true);
        fleet.run(2500ms, streamsPerSecond(8));
        killAll(fleet);
        checkContinued(fleet);
    }
}

TEST_CASE("a table that is back from an older copy proves no version, and no stream is joined", "[selection]")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        for (const auto age : {200ms, 3000ms, 14'000ms}) { // the last one is of before the slots moved
            INFO("seed " << seed << ", copy of " << age.count() << " ms before");
            released_fleet fleet(8, seed, {"v1", "v2", "v3"});
            fleet.table.startCopies(250ms);
            fleet.run(2s, streamsPerSecond(8));
            fleet.setServing("v3", false);
            fleet.run(13s, streamsPerSecond(8));
            silence(fleet);
            fleet.run(1s, streamsPerSecond(8));
            fleet.table.restore(age);
            killAll(fleet);
            CHECK(countOf(fleet, "selected_version") == 0);
            CHECK(fleet.result.joined == 0);
        }
    }
}

TEST_CASE("a selected version without upstreams refuses new streams at once during the silence",
          "[selection]")
{
    released_fleet fleet(8, 1, two_versions);
    fleet.run(2s, streamsPerSecond(8));
    silence(fleet);
    fleet.run(1s, streamsPerSecond(8));
    fleet.setServing("v2", false);
    fleet.run(2s, streamsPerSecond(8));
    CHECK(fleet.result.refused > 0);
    killAll(fleet);
    CHECK(fleet.result.joined == 0);
    // The streams of the version that serves go on.
    CHECK(fleet.continuedShare() >= min_continued_share);
}

TEST_CASE("beside nodes of an earlier build no slots are given out, and after them none proves at once",
          "[selection]")
{
    released_fleet fleet(8, 5, two_versions, 3);
    fleet.run(4s, streamsPerSecond(8));
    CHECK(slotsInTable(fleet).isEmpty());
    fleet.formerNodeCount = 0;
    fleet.run(4s, streamsPerSecond(8));
    REQUIRE_FALSE(slotsInTable(fleet).isEmpty());
    SECTION("streams that nodes of the earlier build began are not joined")
    {
        silence(fleet);
        fleet.run(2s, streamsPerSecond(8));
        killAll(fleet);
        CHECK(countOf(fleet, "selected_version") == 0);
        CHECK(fleet.result.joined == 0);
    }
    SECTION("minutes later the slots prove the version")
    {
        fleet.run(relay::version_register::version_retention, 2.0);
        fleet.time.advance(2s);
        silence(fleet);
        fleet.run(2s, streamsPerSecond(8));
        killAll(fleet);
        checkContinued(fleet);
        CHECK(countOf(fleet, "selected_version") > 0);
    }
    SECTION("an earlier build that is back takes the slots away")
    {
        fleet.formerNodeCount = 2;
        fleet.run(3s, streamsPerSecond(8));
        CHECK(slotsInTable(fleet).isEmpty());
        killAll(fleet);
        CHECK(fleet.result.joined == 0);
    }
}
