#include "base/random_source.h"
#include "mutated_text.h"
#include "relay/event_scanner.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;

namespace {

const std::vector<std::string> event_samples{
    "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "id: 1\r\ndata: x\r\n\r\nid: 3\r\ndata: y\r\n\r\n",
    ": comment\n\nid: 7\nevent: e\ndata: a\ndata: b\n\ndata: without id\n\n", "id:1\ndata:x\n\n\n\nid:2\n\n"};

const std::vector<std::string> event_tokens{"\n",
                                            "\r",
                                            "\r\n",
                                            "\n\n",
                                            "\r\n\r\n",
                                            "id: ",
                                            "id: 99999999999999999999\n",
                                            "id: -1\n",
                                            "data: ",
                                            ":",
                                            std::string(1, '\0')};

} // namespace

TEST_CASE("mutated streams of events are split the same whole and in pieces", "[slow]")
{
    seeded_random randomness(20261204);
    const std::uint64_t rounds = fuzzRounds(3'000'000);
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const std::string text = mutatedText(randomness, event_samples, event_tokens);
        event_scanner whole;
        const std::string expected = whole.feed(text);
        event_scanner pieces;
        std::string received;
        for (const std::string &piece : randomPieces(randomness, text))
            received += pieces.feed(piece);
        if (received == expected && pieces.lastEvent() == whole.lastEvent()
            && pieces.hasGap() == whole.hasGap() && pieces.partialEventBytes() == whole.partialEventBytes())
            continue;
        CAPTURE(round, text, expected, received, whole.hasGap(), pieces.hasGap());
        REQUIRE(received == expected);
        REQUIRE(pieces.lastEvent() == whole.lastEvent());
        REQUIRE(pieces.hasGap() == whole.hasGap());
        REQUIRE(pieces.partialEventBytes() == whole.partialEventBytes());
    }
}
