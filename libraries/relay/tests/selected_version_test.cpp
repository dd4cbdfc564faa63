#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t slots_per_upstream = 4;

/// A relay with two upstreams of each of two software versions; the keys of all calls select `v1`.
struct two_versions : relay_fixture
{
    explicit two_versions(std::uint64_t seed = 7)
        : relay_fixture(call_kind::resumable_stream, 3)
    {
        randomness = seeded_random(seed);
        for (const char *id : {"a", "b", "c", "d"}) {
            upstreams.remove(id);
            const std::string version = *id < 'c' ? "v1" : "v2";
            upstreams.put({version + id,
                           "s",
                           {"10.0.0.1", static_cast<std::uint16_t>(*id)},
                           "hall",
                           slots_per_upstream,
                           false,
                           false,
                           {},
                           version});
        }
        versions.selected = "v1";
        callerTimeout = 3s;
    }

    std::string lastVersion()
    {
        for (const upstream *each : upstreams.all()) {
            if (each->record.address == last().to)
                return each->record.softwareVersion;
        }
        return {};
    }

    /// Puts calls on all upstreams of a version.
    void load(const std::string &version, std::size_t calls)
    {
        for (const upstream *each : upstreams.all()) {
            for (std::size_t number = 0; number < calls && each->record.softwareVersion == version; ++number)
                upstreams.recordCallStart(each->record.id, 0);
        }
    }

    void storeDeviations()
    {
        for (const auto &[stream, onStored] : std::map(origins.deviations))
            onStored();
    }
};

} // namespace

TEST_CASE("a new stream begins at the selected version without a deviation")
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        two_versions fixture(seed);
        const auto answer = fixture.startCall();
        CHECK(fixture.lastVersion() == "v1");
        fixture.last().head(200, {{"Meaning", "served"}});
        fixture.last().body(event(1));
        CHECK(answer->body == event(1));
        CHECK(fixture.origins.deviations.empty());
    }
}

TEST_CASE("a stream whose selected version has no room begins elsewhere once the deviation is stored")
{
    two_versions fixture;
    fixture.load("v1", slots_per_upstream);
    const auto answer = fixture.startCall();
    REQUIRE(fixture.lastVersion() == "v2");
    CHECK(fixture.origins.deviations.size() == 1);
    CHECK(fixture.origins.deviations.contains(stream_key::of("one", "id1")));
    SECTION("the upstream answers first")
    {
        fixture.last().head(200, {{"Meaning", "served"}});
        fixture.last().body(event(1));
        CHECK(fixture.last().isPaused);
        CHECK(answer->status == 0);
        CHECK(fixture.origins.records.empty());
        SECTION("and goes on")
        {
            fixture.storeDeviations();
            CHECK_FALSE(fixture.last().isPaused);
            fixture.last().body(event(2));
            fixture.last().end();
        }
        SECTION("and ends")
        {
            fixture.last().body(event(2));
            fixture.last().end();
            CHECK(answer->status == 0);
            fixture.storeDeviations();
        }
    }
    SECTION("the deviation is stored first")
    {
        fixture.storeDeviations();
        fixture.last().head(200, {{"Meaning", "served"}});
        fixture.last().body(event(1));
        fixture.last().body(event(2));
        fixture.last().end();
    }
    CHECK(answer->body == event(1) + event(2));
    CHECK(answer->ended);
    CHECK(fixture.startedExchanges() == 1);
    CHECK(fixture.origins.records.at(stream_key::of("one", "id1")).softwareVersion == "v2");
}

TEST_CASE("a stream whose deviation is not stored in time begins at the selected version instead")
{
    two_versions fixture;
    fixture.load("v1", slots_per_upstream);
    const auto answer = fixture.startCall();
    REQUIRE(fixture.lastVersion() == "v2");
    SECTION("before the upstream answered")
    {
    }
    SECTION("after the upstream answered")
    {
        fixture.last().head(200, {{"Meaning", "served"}});
        fixture.last().body(event(1));
    }
    const auto former = fixture.transport.startedExchanges.back();
    fixture.origins.deviationsAreLate = true;
    fixture.time.advance(late_deviation_time);
    CHECK_FALSE(former->isRunning());
    REQUIRE(fixture.startedExchanges() == 2);
    CHECK(fixture.lastVersion() == "v1");
    fixture.storeDeviations(); // too late to matter
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    fixture.last().end();
    CHECK(answer->body == event(1));
    CHECK(answer->ended);
    CHECK(fixture.origins.records.at(stream_key::of("one", "id1")).softwareVersion == "v1");
}

TEST_CASE("a stream waits on for its deviation if it can't begin at the selected version")
{
    two_versions fixture;
    SECTION("which has no upstream")
    {
        fixture.upstreams.remove("v1a");
        fixture.upstreams.remove("v1b");
    }
    SECTION("because the retry budget is used up")
    {
        fixture.load("v1", slots_per_upstream);
        while (fixture.retries.take("s"))
            ;
    }
    const auto answer = fixture.startCall();
    REQUIRE(fixture.lastVersion() == "v2");
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    fixture.origins.deviationsAreLate = true;
    fixture.time.advance(1s);
    CHECK(fixture.startedExchanges() == 1);
    CHECK(answer->status == 0);
    fixture.storeDeviations();
    CHECK(answer->body == event(1));
}

TEST_CASE("while deviations are late, a stream begins at the selected version, or is refused at once")
{
    two_versions fixture;
    fixture.origins.deviationsAreLate = true;
    fixture.load("v1", slots_per_upstream);
    fixture.startCall();
    CHECK(fixture.lastVersion() == "v1"); // it is full, but takes the call
    fixture.upstreams.remove("v1a");
    fixture.upstreams.remove("v1b");
    const std::size_t started = fixture.startedExchanges();
    const auto refused = fixture.startCall();
    CHECK(fixture.startedExchanges() == started);
    CHECK(refused->status == 503);
    // A call with another id may select the other version.
    CHECK(std::stod(std::string(refused->fields.find("Retry-After"))) <= 0.5);
    // Streams of a service with one version don't deviate.
    fixture.versions.selected = "v2";
    fixture.startCall();
    CHECK(fixture.lastVersion() == "v2");
}

TEST_CASE("a change of the selection does not affect a stream that was sent")
{
    two_versions fixture;
    const auto answer = fixture.startCall();
    REQUIRE(fixture.lastVersion() == "v1");
    fixture.versions.selected = "v2";
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    CHECK(answer->body == event(1));
    CHECK(fixture.origins.deviations.empty());
}

TEST_CASE("an attempt that failed before its first event leads to a deviation of the next one only if needed")
{
    two_versions fixture;
    fixture.startCall();
    REQUIRE(fixture.lastVersion() == "v1");
    fixture.last().head(503, {{"Meaning", "not_run"}});
    REQUIRE(fixture.startedExchanges() == 2);
    CHECK(fixture.lastVersion() == "v1");
    CHECK(fixture.origins.deviations.empty());
    fixture.last().head(503, {{"Meaning", "not_run"}});
    REQUIRE(fixture.startedExchanges() == 3);
    CHECK(fixture.lastVersion() == "v2");
    CHECK(fixture.origins.deviations.size() == 1);
    // The record tells where the stream began, whatever was tried before.
    fixture.storeDeviations();
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    CHECK(fixture.origins.records.at(stream_key::of("one", "id1")).softwareVersion == "v2");
}

TEST_CASE("an attempt that breaks off while its answer is held back is repeated")
{
    two_versions fixture;
    fixture.load("v1", slots_per_upstream);
    const auto answer = fixture.startCall();
    REQUIRE(fixture.lastVersion() == "v2");
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    fixture.last().fail(http::exchange_stage::response_started);
    REQUIRE(fixture.startedExchanges() == 2);
    fixture.storeDeviations();
    CHECK(answer->body.empty());
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1) + event(2));
    CHECK(answer->body == event(1) + event(2));
}

TEST_CASE("a caller that leaves and a deadline end an attempt whose answer is held back")
{
    two_versions fixture;
    fixture.load("v1", slots_per_upstream);
    const auto answer = fixture.startCall();
    REQUIRE(fixture.lastVersion() == "v2");
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    const auto held = fixture.transport.startedExchanges.back();
    SECTION("the caller leaves")
    {
        answer->onClosed();
        CHECK_FALSE(held->isRunning());
    }
    SECTION("the deadline expires")
    {
        while (fixture.retries.take("s"))
            ;
        fixture.time.advance(4s);
        CHECK(answer->status == 504);
    }
    const int status = answer->status;
    fixture.storeDeviations();
    CHECK(answer->body.empty());
    CHECK(answer->status == status);
}
