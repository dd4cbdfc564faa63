#include "crashing_fleet.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

TEST_CASE("the first part of streams that callers leave is not convicted by a fleet, but a crashing part is")
{
    // The keepers are told of streams that were left at other nodes, before and after ends.
    constexpr crash_key first{500};
    constexpr crash_key bad{7};
    const bool isCrashing = GENERATE(false, true);
    crashing_fleet fleet({.upstreams = 12});
    std::uint64_t identity = 1'000'000;
    const auto leaveStreams = [&](duration span) {
        for (int round = 0; round < static_cast<int>(span / 50ms); ++round) {
            fleet.time.advance(50ms);
            crashing_fleet::node &at = *fleet.nodes[static_cast<std::size_t>(round) % fleet.nodes.size()];
            at.exchange.recordLeftAnswer("s", {first}, {{++identity}, fleet.time.now() - 1100ms, 1100ms});
        }
    };
    leaveStreams(3s);
    for (std::size_t round = 0; round < 8; ++round) {
        const std::size_t upstream = round % fleet.upstreams.size();
        for (std::size_t caller = 0; caller < 3; ++caller) {
            auto call = std::make_shared<crashing_fleet::sent_call>();
            call->identity = {++identity};
            call->keys = isCrashing ? crash_key_list{bad, first} : crash_key_list{first};
            call->node = (round + caller) % fleet.nodes.size();
            call->attempts = crashing_fleet::max_attempts;
            call->beganAt = fleet.time.now() - 60ms;
            fleet.upstreams[upstream].calls[++fleet.lastCall] = std::move(call);
        }
        fleet.endUpstream(upstream);
        leaveStreams(2500ms);
    }
    CHECK_FALSE(fleet.isRefusedEverywhere({first}));
    CHECK(fleet.isRefusedEverywhere({first, bad}) == isCrashing);
    CHECK(fleet.convictedCount() == (isCrashing ? 1 : 0));
}
