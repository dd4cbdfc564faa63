#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

/// The version of an incarnation never changes, so each list of upstreams has incarnations of its own.
upstream_record recordOf(const std::string &name, const std::string &version)
{
    return {version + name, "s", {"10.0.0.1", static_cast<std::uint16_t>(name.front())},
            "hall",         4,   false,
            false,          {},  version};
}

/// Lists two upstreams of each of two software versions.
void listTwoVersions(relay_fixture &fixture)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        fixture.upstreams.remove(id);
        fixture.upstreams.put(recordOf(id, *id < 'c' ? "v1" : "v2"));
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

TEST_CASE("a stream without any event goes on at every software version")
{
    std::set<std::string> versions;
    for (int round = 0; round < 20; ++round) {
        relay_fixture fixture(call_kind::resumable_stream, 3);
        fixture.randomness = seeded_random(static_cast<std::uint64_t>(round));
        listTwoVersions(fixture);
        fixture.startCall();
        fixture.last().head(200, {{"Meaning", "served"}});
        fixture.last().body("id: 1\ndata: incomplete");
        const std::string first = versionAt(fixture, fixture.last().to);
        fixture.last().fail(http::exchange_stage::response_started);
        REQUIRE(fixture.startedExchanges() == 2);
        versions.insert(first == versionAt(fixture, fixture.last().to) ? "same" : "other");
    }
    CHECK(versions == std::set<std::string>{"other", "same"});
}

TEST_CASE("the origin of a resumable stream is recorded once, before its first event is returned")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {{"Meaning", "served"}});
    CHECK(fixture.origins.records.empty());
    fixture.last().body(event(1));
    REQUIRE(fixture.origins.records.size() == 1);
    const auto &[stream, origin] = *fixture.origins.records.begin();
    CHECK(stream == stream_key::of("one", "id1"));
    CHECK(origin.service == "s");
    CHECK(origin.softwareVersion == "v1");
    CHECK(fixture.origins.lifetimes[stream] >= 2s); // as long as the caller waits
    CHECK(fixture.origins.lifetimes[stream] <= 10s);
}

TEST_CASE("a resumed stream goes on only at the software version that began it")
{
    for (int round = 0; round < 20; ++round) {
        relay_fixture fixture(call_kind::resumable_stream, 3);
        fixture.randomness = seeded_random(static_cast<std::uint64_t>(round));
        listTwoVersions(fixture);
        fixture.origins.records[stream_key::of("one", "first")] = {"s", "v2", "gone"};
        fixture.resume("first", 3);
        REQUIRE(fixture.startedExchanges() == 1);
        CHECK(versionAt(fixture, fixture.last().to) == "v2");
        // The upstream refuses the call; the other one of the version gets it.
        const endpoint refusedBy = fixture.last().to;
        fixture.last().head(503, {{"Meaning", "not_run"}});
        REQUIRE(fixture.startedExchanges() == 2);
        CHECK(versionAt(fixture, fixture.last().to) == "v2");
        CHECK(fixture.last().to != refusedBy);
    }
}

TEST_CASE("a resumption renews the record of its stream for the time in which the caller may come back again")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    const stream_key stream = stream_key::of("one", "first");
    const stream_origin origin{"s", "v1", "gone"};
    fixture.origins.records[stream] = origin;
    fixture.resume("first", 3);
    REQUIRE(fixture.origins.lifetimes.contains(stream));
    CHECK(fixture.origins.lifetimes[stream] >= 2s); // the caller's time
    CHECK(fixture.origins.records[stream] == origin);
    CHECK(fixture.origins.records.size() == 1);
}

TEST_CASE("a resumption is refused at once when nothing proves where its stream may go on")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    listTwoVersions(fixture);
    auto &records = fixture.origins.records;
    std::shared_ptr<received_response> answer;
    SECTION("no record")
    {
        answer = fixture.resume("first", 3);
        CHECK(answer->fields.count("Retry-After") == 0);
    }
    SECTION("no record, and the versions are not known at present")
    {
        fixture.versions.response = {};
        answer = fixture.resume("first", 3);
        CHECK(answer->fields.count("Retry-After") == 1);
    }
    SECTION("no record, and the version that began it has no upstream")
    {
        fixture.versions.response = {"v3", 1};
        answer = fixture.resume("first", 3);
    }
    SECTION("keepers of records do not reply")
    {
        fixture.origins.isComplete = false;
        answer = fixture.resume("first", 3);
        CHECK(answer->fields.count("Retry-After") == 1);
    }
    SECTION("the caller does not name the stream")
    {
        answer = fixture.resume("", 3);
    }
    SECTION("the caller names the call itself")
    {
        answer = fixture.resume("id1", 3);
    }
    SECTION("the stream of another account")
    {
        records[stream_key::of("other", "first")] = {"s", "v1", "v1a"};
        answer = fixture.resume("first", 3);
    }
    SECTION("the stream of a service to which the route does not lead")
    {
        records[stream_key::of("one", "first")] = {"t", "v1", "v1a"};
        answer = fixture.resume("first", 3);
    }
    SECTION("no upstream of the version is left")
    {
        records[stream_key::of("one", "first")] = {"s", "v3", "gone"};
        answer = fixture.resume("first", 3);
    }
    SECTION("the upstream that began it stated no version, and is gone")
    {
        records[stream_key::of("one", "first")] = {"s", "", "gone"};
        answer = fixture.resume("first", 3);
    }
    CHECK(answer->status == 503);
    CHECK(fixture.startedExchanges() == 0);
    CHECK(fixture.relay.running() == 0);
}

TEST_CASE("a stream without a record goes on where the service is proved to have had one version only")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    listTwoVersions(fixture);
    fixture.versions.response = {"v2", 1};
    SECTION("the stream is named")
    {
        fixture.resume("first", 3);
    }
    SECTION("the stream is not named")
    {
        fixture.resume("", 3);
    }
    REQUIRE(fixture.startedExchanges() == 1);
    CHECK(versionAt(fixture, fixture.last().to) == "v2");
    CHECK(fixture.versions.lookups == 1);
}

TEST_CASE("a stream with a record goes on without a lookup of the versions")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    listTwoVersions(fixture);
    fixture.origins.records[stream_key::of("one", "first")] = {"s", "v2", "gone"};
    fixture.resume("first", 3);
    CHECK(fixture.startedExchanges() == 1);
    CHECK(fixture.versions.lookups == 0);
}

TEST_CASE("a resumable stream begins only at a version that is listed, other calls also elsewhere")
{
    for (const call_kind kind : {call_kind::resumable_stream, call_kind::stream, call_kind::idempotent}) {
        std::set<std::string> versions;
        for (int round = 0; round < 20; ++round) {
            relay_fixture fixture(kind, 3);
            fixture.randomness = seeded_random(static_cast<std::uint64_t>(round));
            listTwoVersions(fixture);
            fixture.versions.unlisted = {"v1"};
            fixture.startCall();
            REQUIRE(fixture.startedExchanges() == 1);
            versions.insert(versionAt(fixture, fixture.last().to));
        }
        CHECK(versions.contains("v1") == (kind != call_kind::resumable_stream));
        CHECK(versions.contains("v2"));
    }
}

TEST_CASE("a stream of an upstream without a stated version goes on at that incarnation only")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    for (const char *id : {"a", "b"}) {
        fixture.upstreams.remove(id);
        fixture.upstreams.put(recordOf(id, ""));
    }
    fixture.origins.records[stream_key::of("one", "first")] = {"s", "", "b"};
    fixture.resume("first", 3);
    REQUIRE(fixture.startedExchanges() == 1);
    CHECK(fixture.last().to.port == 'b');
}

TEST_CASE("the caller of a resumption may leave, or its time may end, while the origin is looked up")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    fixture.origins.isDelayed = true;
    const auto answer = fixture.resume("first", 3);
    SECTION("the caller leaves")
    {
        answer->onClosed();
    }
    SECTION("time ends")
    {
        fixture.time.advance(3s);
        CHECK(answer->status == 503);
    }
    CHECK(fixture.relay.running() == 0);
    fixture.origins.pending({.origin = stream_origin{"s", "v1", "a"}, .isComplete = true});
    CHECK(fixture.startedExchanges() == 0);
}

TEST_CASE("the software version of an incarnation never changes")
{
    virtual_scheduler time;
    upstream_directory upstreams(time);
    const auto listed = [&](const std::string &version) {
        upstream_record record = recordOf("a", "");
        record.softwareVersion = version;
        upstreams.put(record);
        return upstreams.find("a")->record.softwareVersion;
    };
    CHECK(listed("").empty());
    CHECK(listed("v1") == "v1");
    CHECK(listed("v2") == "v1");
    CHECK(listed("") == "v1");
    upstreams.remove("a");
    time.advance(9min);
    CHECK(listed("") == "v1");
}

// Guards against streams that are cut because their numbers count tokens.
TEST_CASE("a stream whose numbers increase by three is delivered whole, and goes on after a resumption")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    const auto first = fixture.startCall();
    fixture.last().head(200, {});
    for (const int number : {3, 6, 9})
        fixture.last().body(event(number));
    fixture.last().end();
    CHECK(first->status == 200);
    CHECK(first->body == event(3) + event(6) + event(9));
    fixture.origins.records[stream_key::of("one", "first")] = {"s", "v1", "gone"};
    const auto resumed = fixture.resume("first", 6);
    fixture.last().head(200, {});
    fixture.last().body(event(9));
    fixture.last().end();
    CHECK(resumed->status == 200);
    CHECK(resumed->body == event(9));
}
