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

} // namespace

TEST_CASE("streams go on after the loss of all nodes while two software versions are listed")
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
