#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

struct quarantine_fixture : relay_fixture
{
    explicit quarantine_fixture(call_kind kind = call_kind::resumable_stream)
        : relay_fixture(kind, 3)
    {
        for (const char *each : {"a", "b"})
            reachability.results[upstreams.find(each)->record.address] = reachability_check::result::refused;
    }

    static call requestWithParts(std::vector<std::uint64_t> parts)
    {
        call request;
        request.target = "/p/x";
        request.key = "key";
        request.size = prompt_size{100, 10, {}};
        for (const std::uint64_t each : parts)
            request.size->parts.push_back({each, 10});
        return request;
    }
    crash_key_list keysOf(std::vector<std::uint64_t> parts) const
    {
        return crashKeys.keysOf(requestWithParts(std::move(parts)), "s");
    }
};

} // namespace

TEST_CASE("the keys of a call are those of the parts of its prompt but the last")
{
    quarantine_fixture fixture;
    CHECK(fixture.keysOf({1, 2, 3}).size() == 2);
    CHECK(fixture.keysOf({1, 2, 3}) == fixture.keysOf({2, 1, 4}));
    CHECK(fixture.keysOf({1, 2, 3}) != fixture.keysOf({1, 3, 2}));
    CHECK(fixture.keysOf({1}).empty());
    CHECK(fixture.keysOf({}).empty());
    const call request = quarantine_fixture::requestWithParts({1, 2});
    CHECK(fixture.crashKeys.keysOf(request, "s") != fixture.crashKeys.keysOf(request, "t"));
}

TEST_CASE("a call that is sent again is known whatever its id, deadline and last event are")
{
    quarantine_fixture fixture;
    call request = quarantine_fixture::requestWithParts({1, 2});
    const crash_key key = fixture.crashKeys.identityOf(request, "one");
    request.id = "other";
    request.lastEvent = 4;
    request.callerTimeout = 1s;
    CHECK(fixture.crashKeys.identityOf(request, "one") == key);
    CHECK(fixture.crashKeys.identityOf(request, "two") != key);
    request.body = "other";
    CHECK(fixture.crashKeys.identityOf(request, "one") != key);
    CHECK(fixture.crashKeys.identityOf(quarantine_fixture::requestWithParts({1, 3}), "one") != key);
}

TEST_CASE("a convicted call is refused at once and reaches no upstream")
{
    quarantine_fixture fixture;
    fixture.quarantine.decisions[fixture.keysOf({1, 2, 3})] = quarantine_decision::refuse;
    const auto answer = fixture.start(quarantine_fixture::requestWithParts({1, 2, 9}));
    CHECK(answer->status == 503);
    CHECK(answer->fields.find("Retry-After").empty());
    CHECK(fixture.startedExchanges() == 0);
    fixture.start(quarantine_fixture::requestWithParts({1, 3, 9}));
    CHECK(fixture.startedExchanges() == 1);
}

TEST_CASE("a call that is convicted while it runs is not sent again after its upstream ended")
{
    quarantine_fixture fixture;
    const auto answer = fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.quarantine.decisions[fixture.keysOf({1, 2, 3})] = quarantine_decision::refuse;
    fixture.last().fail(http::exchange_stage::sent);
    CHECK(fixture.startedExchanges() == 1);
    CHECK(answer->status == 502); // it may have run
}

TEST_CASE("a suspected call is sent once")
{
    quarantine_fixture fixture;
    fixture.quarantine.decisions[fixture.keysOf({1, 2, 3})] = quarantine_decision::send_once;
    const auto answer = fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    REQUIRE(fixture.startedExchanges() == 1);
    fixture.last().fail(http::exchange_stage::sent);
    CHECK(fixture.startedExchanges() == 1);
    CHECK(answer->status == 502);
}

TEST_CASE("a suspected call that an upstream did not run goes to another one")
{
    quarantine_fixture fixture;
    fixture.quarantine.decisions[fixture.keysOf({1, 2, 3})] = quarantine_decision::send_once;
    fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().head(503, {{"Meaning", "not_run"}});
    CHECK(fixture.startedExchanges() == 2);
}

TEST_CASE("a call that waited for a permit is refused if it was convicted meanwhile")
{
    quarantine_fixture fixture;
    for (const char *each : {"a", "b"})
        fixture.permits.pending[each] = nullptr;
    const auto answer = fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.quarantine.decisions[fixture.keysOf({1, 2, 3})] = quarantine_decision::refuse;
    for (auto &[upstream, done] : fixture.permits.pending) {
        if (done)
            done({true, {}, {}});
    }
    CHECK(answer->status == 503);
    CHECK(fixture.startedExchanges() == 0);
}

TEST_CASE("the keys of a call whose upstream ended are recorded, with the progress of its answer")
{
    quarantine_fixture fixture;
    fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    fixture.time.advance(500ms);
    fixture.last().fail(http::exchange_stage::response_started);
    fixture.time.advance(200ms);
    REQUIRE(fixture.quarantine.ends.size() == 1);
    REQUIRE(fixture.quarantine.ends.front().calls.size() == 1);
    const crash_suspect &suspect = fixture.quarantine.ends.front().calls.front();
    CHECK(suspect.progress == 500ms);
    REQUIRE(suspect.keys.size() == 3);
    CHECK(crash_key_list(suspect.keys.begin(), suspect.keys.begin() + 2) == fixture.keysOf({1, 2, 3}));
    CHECK(suspect.keys.back().isOfCall());
}

TEST_CASE("an answer that goes on for long speaks for its call once, and the call is no suspect later")
{
    quarantine_fixture fixture;
    fixture.callerTimeout = 30s;
    fixture.defaultRoute.timeout = 30s;
    fixture.install(2);
    fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().head(200, {{"Meaning", "served"}});
    for (int number = 1; number <= 8; ++number) {
        fixture.last().body(event(number));
        fixture.time.advance(max_crash_progress / 7);
    }
    REQUIRE(fixture.quarantine.answered.size() == 1);
    CHECK(fixture.quarantine.lastEvidence == answer_evidence::survived);
    fixture.last().fail(http::exchange_stage::response_started);
    fixture.time.advance(200ms);
    REQUIRE(fixture.quarantine.ends.size() == 1);
    CHECK(fixture.quarantine.ends.front().calls.empty());
}

TEST_CASE("a stream that its caller leaves is recorded up to its last event, and one without events is not")
{
    quarantine_fixture fixture;
    fixture.install(2);
    const auto silent = fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().head(200, {{"Meaning", "served"}});
    silent->onClosed();
    CHECK(fixture.quarantine.left.empty());
    const auto answer = fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    const time_point beganAt = fixture.time.now();
    fixture.time.advance(300ms);
    fixture.last().body(event(2));
    // An upstream that has been silent since may have ended.
    fixture.time.advance(400ms);
    answer->onClosed();
    REQUIRE(fixture.quarantine.left.size() == 1);
    const auto &[keys, left] = fixture.quarantine.left.front();
    CHECK(keys == fixture.keysOf({1, 2, 3}));
    CHECK(left.beganAt == beganAt);
    CHECK(left.lasted == 300ms);
}

TEST_CASE("a whole answer speaks for the keys of its call, a torn one against them")
{
    quarantine_fixture fixture;
    fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    fixture.last().end();
    CHECK(fixture.quarantine.answered == std::vector<crash_key_list>{fixture.keysOf({1, 2, 3})});

    fixture.start(quarantine_fixture::requestWithParts({4, 2, 3}));
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1) + "id: 2\ndata:");
    fixture.last().end();
    fixture.time.advance(200ms);
    CHECK(fixture.quarantine.answered.size() == 1);
    CHECK(fixture.quarantine.ends.size() == 1);
}

TEST_CASE("an answer that ends with its connection speaks for its call only if the upstream goes on")
{
    const bool goesOn = GENERATE(true, false);
    quarantine_fixture fixture;
    if (goesOn)
        fixture.reachability.results.clear();
    fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().observer->onHead({200, {{"Meaning", "served"}}, true});
    fixture.last().body(event(1));
    fixture.last().end();
    CHECK(fixture.quarantine.answered.empty());
    fixture.time.advance(200ms);
    CHECK(fixture.quarantine.answered.size() == (goesOn ? 1 : 0));
    CHECK(fixture.quarantine.ends.size() == (goesOn ? 0 : 1));
}

TEST_CASE("a failure that an upstream states itself speaks neither for nor against the call")
{
    quarantine_fixture fixture(call_kind::at_most_once);
    fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    fixture.last().head(500, {});
    fixture.last().end();
    fixture.time.advance(200ms);
    CHECK(fixture.quarantine.answered.empty());
    CHECK(fixture.quarantine.ends.empty());
}

TEST_CASE("calls with the same account, target and body share a key, whatever their prompts are")
{
    quarantine_fixture fixture;
    call request = quarantine_fixture::requestWithParts({1, 2});
    const crash_key key = fixture.crashKeys.callKeyOf(request, "one");
    CHECK(key.isOfCall());
    CHECK(fixture.crashKeys.callKeyOf(quarantine_fixture::requestWithParts({3, 4}), "one") == key);
    CHECK(fixture.crashKeys.callKeyOf(request, "two") != key);
    request.target = "/p/y";
    CHECK(fixture.crashKeys.callKeyOf(request, "one") != key);
    for (const crash_key each : fixture.keysOf({1, 2, 3, 4, 5, 6}))
        CHECK_FALSE(each.isOfCall());
}

TEST_CASE("a plain call that was convicted is refused, and other calls of its account are sent")
{
    quarantine_fixture fixture(call_kind::idempotent);
    call request;
    request.target = "/p/x";
    request.key = "key";
    request.body = "crashing";
    // The relay sends POST to the host of its route.
    call sent = request;
    sent.method = "POST";
    sent.host = "h";
    fixture.quarantine.decisions[{fixture.crashKeys.callKeyOf(sent, "one")}] = quarantine_decision::refuse;
    CHECK(fixture.start(request)->status == 503);
    CHECK(fixture.startedExchanges() == 0);
    request.body = "sound";
    fixture.start(request);
    CHECK(fixture.startedExchanges() == 1);
}

TEST_CASE("answers speak for calls only while calls are watched")
{
    const bool isWatching = GENERATE(false, true);
    quarantine_fixture fixture(call_kind::idempotent);
    fixture.quarantine.isWatchingCalls = isWatching;
    fixture.startCall();
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().end();
    REQUIRE(fixture.quarantine.answered.size() == 1);
    CHECK(fixture.quarantine.answered.front().size() == (isWatching ? 1 : 0));
}

TEST_CASE("a trial is sent once, and not again when its upstream ends or refuses it")
{
    const bool isRefused = GENERATE(false, true);
    quarantine_fixture fixture;
    fixture.quarantine.decisions[fixture.keysOf({1, 2, 3})] = quarantine_decision::refuse;
    fixture.quarantine.isTrialGranted = true;
    const auto answer = fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}));
    REQUIRE(fixture.startedExchanges() == 1);
    if (isRefused)
        fixture.last().head(503, {{"Meaning", "not_run"}});
    else
        fixture.last().fail(http::exchange_stage::sent);
    CHECK(fixture.startedExchanges() == 1);
    CHECK(answer->status == (isRefused ? 503 : 502));
    CHECK(fixture.start(quarantine_fixture::requestWithParts({1, 2, 3}))->status == 503);
    CHECK(fixture.startedExchanges() == 1);
}
