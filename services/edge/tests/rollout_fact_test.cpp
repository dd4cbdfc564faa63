#include "../rollout_fact.h"
#include "mutated_text.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::edge;

TEST_CASE("a statement on a rollout survives encoding and decoding")
{
    const delivery::rollout_status status{"s",  "v2",    41,           delivery::rollout_state::rolled_back,
                                          0.25, {7, 12}, 1796400000000};
    const auto decoded = decodeRolloutFact("s", encodeRolloutFact(status));
    REQUIRE(decoded);
    CHECK(decoded.value() == status);
}

TEST_CASE("a mutated statement is rejected, or has a target, an order and a share from 0 to 1")
{
    const std::vector<std::string> samples{
        encodeRolloutFact(
            {"s", "v2", 41, delivery::rollout_state::in_progress, 0.02, {7, 12}, 1796400000000}),
        encodeRolloutFact({"s", "v10", 3, delivery::rollout_state::completed, 1.0, {9, 1}, 1})};
    const std::vector<std::string> tokens{"\"",    "{",  "}",    ":",         ",",
                                          "1e308", "-1", "null", "\"share\"", "\xff"};
    seeded_random randomness(20261204);
    std::uint64_t accepted = 0;
    for (int round = 0; round < 20'000; ++round) {
        const auto decoded = decodeRolloutFact("s", mutatedText(randomness, samples, tokens));
        if (!decoded)
            continue;
        ++accepted;
        CHECK_FALSE(decoded.value().targetVersion.empty());
        CHECK(decoded.value().orderVersion > 0);
        CHECK(decoded.value().share >= 0.0);
        CHECK(decoded.value().share <= 1.0);
    }
    CHECK(accepted > 0);
    CHECK_FALSE(decodeRolloutFact("", samples[0]));
}
