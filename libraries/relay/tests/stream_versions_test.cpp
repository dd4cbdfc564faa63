#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

/// Lists two upstreams of each of two software versions.
void listTwoVersions(relay_fixture &fixture)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        upstream_record record{id, "s", {"10.0.0.1", static_cast<std::uint16_t>(*id)}, "hall", 4};
        record.softwareVersion = *id < 'c' ? "v1" : "v2";
        fixture.upstreams.put(record);
    }
}

std::string versionAt(const relay_fixture &fixture, const endpoint &address)
{
    for (const upstream *each : fixture.upstreams.all()) {
        if (each->record.address == address)
            return each->record.softwareVersion;
    }
    return {};
}

} // namespace

TEST_CASE("a stream that breaks off goes on in the same answer at the software version that began it",
          "[promise][promise-2]")
{
    for (int round = 0; round < 40; ++round) {
        relay_fixture fixture(call_kind::resumable_stream, 3);
        fixture.randomness = seeded_random(static_cast<std::uint64_t>(round));
        listTwoVersions(fixture);
        const auto answer = fixture.startCall();
        fixture.last().head(200, {{"Meaning", "served"}});
        fixture.last().body(event(1));
        const std::string began = versionAt(fixture, fixture.last().to);
        fixture.last().fail(http::exchange_stage::response_started);
        REQUIRE(fixture.startedExchanges() == 2);
        CHECK(versionAt(fixture, fixture.last().to) == began);
    }
}
