#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

/// A relay whose upstreams `a` and `b` are limited, with a stream that began at their version.
struct limited_fixture : relay_fixture
{
    limited_fixture()
        : relay_fixture(call_kind::resumable_stream, 3)
    {
        origins.records[stream_key::of("one", "first")] = {"s", "v1", "gone"};
        callerTimeout = 3s;
    }

    void refuse(const std::string &upstream, duration nextPermit)
    {
        permits.refused[upstream] = {false, nextPermit, nextPermit};
    }

    std::size_t queuedRequests() const
    {
        return static_cast<std::size_t>(std::count_if(permits.requests.begin(), permits.requests.end(),
                                                      [](const auto &each) { return each.second.mayQueue; }));
    }
};

} // namespace

// Guards against streams that are refused although a permit of their version comes in time.
TEST_CASE("a continuation waits where it gets a permit soonest, after it was refused by all")
{
    limited_fixture fixture;
    fixture.refuse("a", 900ms);
    fixture.refuse("b", 300ms);
    fixture.resume("first", 3);
    REQUIRE(fixture.queuedRequests() >= 1);
    const auto queued = std::find_if(fixture.permits.requests.begin(), fixture.permits.requests.end(),
                                     [](const auto &each) { return each.second.mayQueue; });
    CHECK(queued->first == "b");
    CHECK(queued->second.isContinuation);
    CHECK(queued->second.patience <= fixture.callerTimeout);
}

TEST_CASE("a continuation waits at each upstream once, and is refused with the time of the next permit")
{
    limited_fixture fixture;
    fixture.refuse("a", 900ms);
    fixture.refuse("b", 300ms);
    const auto answer = fixture.resume("first", 3);
    CHECK(answer->status == 503);
    CHECK(fixture.queuedRequests() == 2);
    CHECK(std::stod(std::string(answer->fields.find("Retry-After"))) >= 0.3);
}

TEST_CASE("a continuation is refused at once if no permit comes before its caller's time ends")
{
    limited_fixture fixture;
    fixture.callerTimeout = 500ms;
    fixture.refuse("a", 900ms);
    fixture.refuse("b", 600ms);
    const auto answer = fixture.resume("first", 3);
    CHECK(answer->status == 503);
    CHECK(fixture.queuedRequests() == 0);
}

TEST_CASE("a new call does not wait for a permit")
{
    limited_fixture fixture;
    fixture.refuse("a", 100ms);
    fixture.refuse("b", 100ms);
    CHECK(fixture.startCall()->status == 503);
    CHECK(fixture.queuedRequests() == 0);
}

TEST_CASE("a continuation whose caller hangs up withdraws its request for a permit")
{
    limited_fixture fixture;
    fixture.permits.pending["a"];
    fixture.permits.pending["b"];
    const auto answer = fixture.resume("first", 3);
    REQUIRE(fixture.permits.requests.size() == 1);
    answer->onClosed();
    CHECK(fixture.permits.withdrawn == std::vector<std::string>{fixture.permits.requests[0].first});
}
