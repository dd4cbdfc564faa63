#include "released_fleet.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

namespace {

constexpr double streams_per_second = 60.0;
/// Of the streams that are resumed while upstreams of their version serve: those that go on.
constexpr double min_continued_share = 0.9;

/// What went on after the loss of all nodes, over several seeds.
struct total
{
    std::size_t resumed = 0;
    std::size_t continued = 0;
    std::size_t joined = 0;

    double share() const
    {
        return static_cast<double>(continued) / static_cast<double>(std::max<std::size_t>(resumed, 1));
    }
};

/// Runs a release at eight nodes for several seeds, kills all nodes, and counts what goes on within 10 s.
template <typename Release>
total killedDuring(Release release)
{
    total result;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        released_fleet fleet(8, seed);
        fleet.table.startCopies(100ms);
        fleet.run(6s, streams_per_second);
        release(fleet);
        fleet.killAll();
        fleet.time.advance(10s);
        result.resumed += fleet.result.resumed;
        result.continued += fleet.result.continued;
        result.joined += fleet.result.joined;
    }
    return result;
}

} // namespace

TEST_CASE("streams go on after the loss of all nodes while two software versions are listed", "[stored]")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO("seed " << seed);
        released_fleet fleet(8, seed);
        fleet.setServing("v2", true);
        fleet.run(6s, streams_per_second);
        fleet.killAll();
        fleet.time.advance(5s);
        REQUIRE(fleet.result.resumed >= 100);
        CHECK(fleet.continuedShare() >= min_continued_share);
        CHECK(fleet.result.joined == 0);
    }
}

TEST_CASE("streams go on after the loss of all nodes before the first upstream of another version",
          "[stored]")
{
    const total counted = killedDuring([](released_fleet &) {});
    CHECK(counted.share() >= min_continued_share);
    CHECK(counted.joined == 0);
}

TEST_CASE("streams go on after the loss of all nodes at any moment after another version appeared",
          "[stored]")
{
    for (const auto since : {20ms, 100ms, 200ms, 300ms, 400ms, 500ms, 600ms, 800ms, 1000ms, 1500ms, 3000ms}) {
        const total counted = killedDuring([since](released_fleet &fleet) {
            fleet.setServing("v2", true);
            fleet.run(since, streams_per_second);
        });
        INFO(since.count() << " ms: " << counted.continued << " of " << counted.resumed);
        CHECK(counted.share() >= min_continued_share);
        CHECK(counted.joined == 0);
    }
}

TEST_CASE("streams go on after the loss of all nodes when the last upstreams of the old version have left",
          "[stored]")
{
    for (const auto since : {0ms, 100ms, 500ms, 2000ms}) {
        const total counted = killedDuring([since](released_fleet &fleet) {
            fleet.setServing("v2", true);
            fleet.run(4s, streams_per_second);
            fleet.setServing("v1", false);
            fleet.run(since, streams_per_second);
        });
        INFO(since.count() << " ms: " << counted.continued << " of " << counted.resumed);
        CHECK(counted.share() >= min_continued_share);
        CHECK(counted.joined == 0);
    }
}

TEST_CASE("streams go on after the loss of all nodes when the row of versions is written late", "[stored]")
{
    for (const auto since : {500ms, 2000ms}) {
        const total counted = killedDuring([since](released_fleet &fleet) {
            fleet.table.faults.down = true;
            fleet.setServing("v2", true);
            fleet.run(since, streams_per_second);
            fleet.time.after(1500ms, [&fleet] { fleet.table.faults.down = false; });
        });
        INFO(since.count() << " ms: " << counted.continued << " of " << counted.resumed);
        CHECK(counted.share() >= min_continued_share);
        CHECK(counted.joined == 0);
    }
}

TEST_CASE("streams go on after the loss of all nodes when the response to the write of the row of versions "
          "was lost",
          "[stored]")
{
    for (const auto since : {300ms, 600ms, 1200ms, 2000ms, 2600ms}) {
        const total counted = killedDuring([since](released_fleet &fleet) {
            fleet.table.faults.lostAnswer = 1.0;
            fleet.setServing("v2", true);
            fleet.run(since, streams_per_second);
            fleet.table.faults.lostAnswer = 0.0;
        });
        INFO(since.count() << " ms: " << counted.continued << " of " << counted.resumed);
        CHECK(counted.share() >= min_continued_share);
        CHECK(counted.joined == 0);
    }
}

TEST_CASE("streams go on after the loss of all nodes when the table is back from an older copy", "[stored]")
{
    for (const auto age : {200ms, 1000ms, 3000ms, 5000ms}) {
        for (const auto since : {0ms, 1000ms}) {
            const total counted = killedDuring([age, since](released_fleet &fleet) {
                fleet.setServing("v2", true);
                fleet.run(4s, streams_per_second);
                fleet.table.restore(age);
                fleet.run(since, streams_per_second);
            });
            INFO("age " << age.count() << " since " << since.count() << " ms: " << counted.continued << " of "
                        << counted.resumed);
            // Records that the copy lacks are written again from the memory of the recorder. If it is killed
            // in the moment of the restore, no copy of them is left.
            if (since > 500ms)
                CHECK(counted.share() >= min_continued_share);
            CHECK(counted.joined == 0);
        }
    }
}

TEST_CASE("after the loss of all nodes, records that disagree are not used, and accounts don't share streams",
          "[stored]")
{
    released_fleet fleet(8);
    fleet.setServing("v2", true);
    fleet.run(4s, streams_per_second);
    fleet.streams.clear();
    released_fleet::node &first = *fleet.nodes[0];
    released_fleet::node &second = *fleet.nodes[1];
    fleet.beginAt(first, "one", "twice", "v1", "v1a");
    fleet.beginAt(second, "one", "twice", "v2", "v2a");
    fleet.streams.clear();
    fleet.beginAt(first, "one", "shared", "v1", "v1a");
    fleet.beginAt(second, "two", "shared", "v2", "v2b");
    fleet.beginAt(second, "one", "same version", "v2", "v2a");
    fleet.beginAt(first, "one", "same version", "v2", "v2b");
    fleet.time.advance(200ms);
    fleet.killAll();
    fleet.time.advance(10s);
    CHECK(fleet.result.resumed == 4);
    CHECK(fleet.result.continued == 4);
    CHECK(fleet.result.joined == 0);
    std::optional<relay::origin_lookup> found;
    fleet.nodes[3]->origins.findStored(relay::stream_key::of("one", "twice"),
                                       [&](const relay::origin_lookup &response) { found = response; });
    fleet.time.advance(1s);
    REQUIRE(found);
    CHECK(found->isConflicting);
    CHECK_FALSE(found->origin);
}

TEST_CASE("streams go on after the loss of all nodes, of which the recorder was killed before", "[stored]")
{
    for (const auto since : {1000ms, 2500ms, 4000ms}) {
        const total counted = killedDuring([since](released_fleet &fleet) {
            fleet.setServing("v2", true);
            fleet.run(4s, streams_per_second);
            fleet.kill(fleet.busiestRecorder());
            fleet.run(since, streams_per_second);
        });
        INFO(since.count() << " ms: " << counted.continued << " of " << counted.resumed);
        // For two seconds records go to the killed recorder; they are sent again when that is known.
        if (since > 2s)
            CHECK(counted.share() >= min_continued_share);
        CHECK(counted.joined == 0);
    }
}
