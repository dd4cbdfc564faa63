#include "relay/upstream_rows.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

constexpr int rounds = 20;

std::size_t startedAt(const relay_fixture &of, char port)
{
    const auto &started = of.transport.startedExchanges;
    return static_cast<std::size_t>(std::count_if(started.begin(), started.end(),
                                                  [&](const auto &each) { return each->to.port == port; }));
}

const upstream_record record{"u", "s", {"10.0.0.1", 8080}, "hall", 4, false, false, {}, "v1"};

/// Rows of the upstream `u`, whose record does not change.
struct listed_upstream
{
    listed_upstream()
    {
        rows.onChange(rowOf(1), {});
    }

    static cloud::feed_row rowOf(std::uint64_t version)
    {
        cloud::feed_row row;
        row.key = "u";
        row.version = version;
        return row;
    }
    bool isUnconfirmed() const
    {
        return upstreams.find("u")->isUnconfirmed();
    }

    virtual_scheduler time;
    upstream_directory upstreams{time};
    upstream_rows rows{time, upstreams,
                       [](const auto &, const auto &) { return outcome<upstream_record>(record); }};
};

} // namespace

// Guards against streams that join events of two software versions, as an upstream started again with another
// one before its row was read.
TEST_CASE("streams neither begin nor go on at an upstream that ended until its row is read")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    fixture.upstreams.recordEnd("a");
    fixture.origins.records[stream_key::of("one", "first")] = {"s", "v1", "gone"};
    for (int round = 0; round < rounds; ++round) {
        fixture.startCall();
        fixture.resume("first", 3);
    }
    CHECK(startedAt(fixture, 'a') == 0);
    CHECK(startedAt(fixture, 'b') == 2 * rounds);
    fixture.time.advance(max_row_delay);
    for (std::uint32_t row = 0; row < confirming_rows; ++row)
        fixture.upstreams.confirm("a");
    for (int round = 0; round < rounds; ++round)
        fixture.startCall();
    CHECK(startedAt(fixture, 'a') > 0);
}

TEST_CASE("calls that are no resumable streams are sent to an upstream that ended and answers again")
{
    relay_fixture fixture(call_kind::idempotent);
    fixture.upstreams.recordEnd("a");
    for (int round = 0; round < rounds; ++round)
        fixture.startCall();
    CHECK(startedAt(fixture, 'a') > 0);
}

TEST_CASE("a stream that begins while the versions of all upstreams are unknown goes on at none")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    fixture.upstreams.recordEnd("a");
    fixture.upstreams.recordEnd("b");
    fixture.startCall();
    REQUIRE(fixture.startedExchanges() == 1);
    fixture.last().head(200, {});
    fixture.last().body(event(1));
    REQUIRE(fixture.origins.records.size() == 1);
    CHECK(fixture.origins.records.begin()->second.softwareVersion.empty());
    fixture.origins.records[stream_key::of("one", "first")] = {"s", "v1", "gone"};
    CHECK(fixture.resume("first", 3)->status == 503);
}

TEST_CASE("a heartbeat of the same start confirms an upstream, unless it may be older than the end")
{
    listed_upstream listed;
    listed.upstreams.recordEnd("u");
    listed.time.advance(200ms);
    listed.rows.onChange(listed_upstream::rowOf(2), {});
    CHECK(listed.isUnconfirmed());
    listed.time.advance(max_row_delay);
    listed.rows.onChange(listed_upstream::rowOf(3), {});
    CHECK(listed.isUnconfirmed()); // the table may have been silent since
    listed.time.advance(max_row_delay);
    listed.rows.onChange(listed_upstream::rowOf(4), {});
    CHECK_FALSE(listed.isUnconfirmed());
}

TEST_CASE("an end that another node saw counts, unless calls in progress tell otherwise")
{
    relay_fixture fixture;
    fixture.upstreams.recordCallStart("a", 0);
    fixture.upstreams.recordToldEnd("a");
    fixture.upstreams.recordToldEnd("b");
    CHECK_FALSE(fixture.upstreams.find("a")->isUnconfirmed());
    CHECK(fixture.upstreams.find("b")->isUnconfirmed());
}

TEST_CASE("an upstream whose end was found by a check is unconfirmed")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    fixture.reachability.results[{"10.0.0.1", 'a'}] = reachability_check::result::refused;
    fixture.ends.recordBrokenCall("a", std::nullopt);
    fixture.ends.recordBrokenCall("b", std::nullopt);
    fixture.time.advance(1s);
    CHECK(fixture.upstreams.find("a")->isUnconfirmed());
    CHECK_FALSE(fixture.upstreams.find("b")->isUnconfirmed());
}

TEST_CASE("the end of an upstream that closed idle connections is found, and blames no call")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    fixture.reachability.results[{"10.0.0.1", 'a'}] = reachability_check::result::refused;
    fixture.ends.recordClosedConnection("a");
    fixture.ends.recordClosedConnection("b"); // which goes on
    fixture.time.advance(1s);
    CHECK(fixture.upstreams.find("a")->isUnconfirmed());
    CHECK_FALSE(fixture.upstreams.find("b")->isUnconfirmed());
    CHECK(fixture.quarantine.ends.empty());
}
