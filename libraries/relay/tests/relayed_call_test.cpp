#include "relay_fixture.h"

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;
using http::exchange_stage;

TEST_CASE("a call is forwarded and its answer is returned once complete")
{
    relay_fixture fixture;
    const auto answer = fixture.startCall();
    REQUIRE(fixture.startedExchanges() == 1);
    fixture.last().head(200, {{"Signature", "s"}});
    fixture.last().body("one");
    CHECK(answer->status == 0); // nothing is returned before the answer is complete
    fixture.last().body("two");
    fixture.last().end();
    CHECK(answer->status == 200);
    CHECK(answer->body == "onetwo");
    CHECK(answer->ended);
    CHECK(answer->fields.find("Signature") == "s");
    CHECK(fixture.relay.running() == 0);
    CHECK(fixture.runs.countsOf(0) == run_counts{{"one", 1}});
}

TEST_CASE("a call before the first configuration is refused with Retry-After")
{
    relay_fixture fixture;
    relay_service empty{
        {fixture.time,      fixture.randomness, fixture.metrics,
         fixture.transport, fixture.protocol,   fixture.upstreams,
         fixture.selector,  fixture.retries,    fixture.quota,
         fixture.runs,      fixture.work,       fixture.speeds,
         fixture.permits,   fixture.origins,    fixture.versions,
         fixture.buffers,   fixture.quarantine, fixture.ends,
         fixture.crashKeys, [] { return 0; },   [](const service &) { return std::size_t{8}; }}};
    auto answer = std::make_shared<received_response>();
    empty.handle({}, std::make_shared<fake_reply>(answer));
    CHECK(answer->status == 503);
    CHECK(answer->fields.count("Retry-After") == 1);
}

TEST_CASE("an unknown route returns 404 and an unknown key 401, without reaching an upstream")
{
    relay_fixture fixture;
    CHECK(fixture.startCall("/other/")->status == 404);
    CHECK(fixture.startCall("/p/x", "wrong")->status == 401);
    CHECK(fixture.startCall("/p/x", "")->status == 401);
    CHECK(fixture.startedExchanges() == 0);
}

TEST_CASE("an upstream is not set aside because this node's connections to it are all in use")
{
    for (const bool isConnectionLimit : {true, false}) {
        relay_fixture fixture(call_kind::at_most_once, 1);
        fixture.upstreams.remove("b");
        for (std::uint32_t call = 0; call < ejection_failure_threshold; ++call) {
            const auto answer = fixture.startCall();
            fixture.last().fail(exchange_stage::not_sent, isConnectionLimit);
            CHECK(answer->status == 503);
        }
        CHECK((fixture.upstreams.find("a")->ejectedUntil > fixture.time.now()) == !isConnectionLimit);
    }
}

TEST_CASE("an at-most-once call is retried only if it cannot have run")
{
    relay_fixture fixture(call_kind::at_most_once, 2);
    SECTION("connection failed")
    {
        const auto answer = fixture.startCall();
        fixture.last().fail(exchange_stage::not_sent);
        REQUIRE(fixture.startedExchanges() == 2);
        fixture.last().head(200, {});
        fixture.last().end();
        CHECK(answer->status == 200);
    }
    SECTION("the upstream reports that it did not run the call")
    {
        const auto answer = fixture.startCall();
        fixture.last().head(503, {{"Meaning", "not_run"}});
        REQUIRE(fixture.startedExchanges() == 2);
        fixture.last().head(503, {{"Meaning", "not_run"}});
        CHECK(answer->status == 503);
        CHECK(answer->fields.count("Retry-After") == 1);
        CHECK(fixture.runs.countsOf(0).empty());
    }
    SECTION("the connection fails after the request was sent")
    {
        const auto answer = fixture.startCall();
        fixture.last().fail(exchange_stage::sent);
        CHECK(fixture.startedExchanges() == 1);
        CHECK(answer->status == 502);
    }
    SECTION("the connection fails during the answer")
    {
        const auto answer = fixture.startCall();
        fixture.last().head(200, {});
        fixture.last().body("par");
        fixture.last().fail(exchange_stage::response_started);
        CHECK(fixture.startedExchanges() == 1);
        CHECK(answer->status == 502);
        CHECK(answer->body.empty());
    }
    SECTION("an error response of the upstream is forwarded")
    {
        const auto answer = fixture.startCall();
        fixture.last().head(500, {{"Signature", "s"}});
        fixture.last().body("why");
        fixture.last().end();
        CHECK(answer->status == 500);
        CHECK(answer->body == "why");
    }
    SECTION("an answer that may be an earlier refusal tells nothing")
    {
        const auto answer = fixture.startCall();
        fixture.last().head(503, {{"Meaning", "unattributed"}});
        CHECK(fixture.startedExchanges() == 1);
        CHECK(answer->status == 502);
    }
    SECTION("an unsigned success is rejected")
    {
        const auto answer = fixture.startCall();
        fixture.last().head(200, {{"Meaning", "unsigned"}});
        CHECK(fixture.startedExchanges() == 1);
        CHECK(answer->status == 502);
    }
}

TEST_CASE("an attempt that was never sent takes nothing from the retry budget")
{
    relay_fixture fixture(call_kind::at_most_once);
    const auto answer = fixture.startCall();
    while (fixture.retries.take("s")) { }
    fixture.last().failToConnect();
    REQUIRE(fixture.startedExchanges() == 2);
    fixture.last().head(200, {{"Signature", "s"}});
    fixture.last().end();
    CHECK(answer->status == 200);
    const auto rejected = fixture.startCall();
    REQUIRE(fixture.startedExchanges() == 3);
    fixture.last().head(503, {{"Meaning", "not_run"}});
    CHECK(fixture.startedExchanges() == 3);
    CHECK(rejected->status == 503);
}

TEST_CASE("a call that may have run is never reported as not run")
{
    relay_fixture fixture(call_kind::idempotent, 2);
    const auto answer = fixture.startCall();
    fixture.last().fail(exchange_stage::sent);
    REQUIRE(fixture.startedExchanges() == 2);
    fixture.last().head(503, {{"Meaning", "not_run"}});
    CHECK(answer->status == 502);
}

TEST_CASE("an idempotent call may run on no more upstreams than its route allows")
{
    relay_fixture fixture(call_kind::idempotent, 2);
    fixture.upstreams.put({"c", "s", {"10.0.0.1", 3}, "hall", 4});
    const auto answer = fixture.startCall();
    fixture.last().fail(exchange_stage::sent);
    REQUIRE(fixture.startedExchanges() == 2);
    fixture.last().fail(exchange_stage::sent);
    CHECK(fixture.startedExchanges() == 2);
    CHECK(answer->status == 502);
    CHECK(fixture.runs.countsOf(0) == run_counts{{"one", 1}});
}

TEST_CASE("a call is retried on another upstream if its upstream was replaced")
{
    relay_fixture fixture(call_kind::at_most_once, 1);
    const auto answer = fixture.startCall();
    fixture.last().head(421, {{"Meaning", "moved"}});
    REQUIRE(fixture.startedExchanges() == 2);
    fixture.last().head(200, {});
    fixture.last().end();
    CHECK(answer->status == 200);
}

TEST_CASE("a sent call returns 504 at its deadline and its exchange is cancelled")
{
    relay_fixture fixture;
    const auto answer = fixture.startCall();
    fixture.time.advance(1999ms);
    CHECK(answer->status == 0);
    fixture.time.advance(2ms);
    CHECK(answer->status == 504);
    CHECK_FALSE(fixture.last().isRunning());
}

TEST_CASE("the route's timeout limits a longer caller timeout")
{
    relay_fixture fixture;
    fixture.defaultRoute.timeout = 500ms;
    fixture.install(2);
    const auto answer = fixture.startCall();
    fixture.time.advance(501ms);
    CHECK(answer->status == 504);
}

TEST_CASE("the exchange is cancelled when the caller disconnects")
{
    relay_fixture fixture;
    const auto answer = fixture.startCall();
    REQUIRE(fixture.last().isRunning());
    answer->onClosed();
    CHECK_FALSE(fixture.last().isRunning());
    CHECK(fixture.relay.running() == 0);
}

TEST_CASE("only complete events are forwarded, and the stream ends normally")
{
    relay_fixture fixture(call_kind::stream, 1);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {});
    CHECK(answer->status == 200);
    CHECK(fixture.runs.countsOf(0).empty()); // a stream counts as a run from its first event
    fixture.last().body(event(1) + "id: 2\nda");
    CHECK(answer->body == event(1));
    CHECK(fixture.runs.countsOf(0) == run_counts{{"one", 1}});
    fixture.last().body("ta: x\n\n");
    fixture.last().end();
    CHECK(answer->body == event(1) + event(2));
    CHECK(answer->ended);
}

TEST_CASE("a non-resumable stream that breaks closes the connection to the caller")
{
    relay_fixture fixture(call_kind::stream, 2);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {});
    fixture.last().body(event(1));
    fixture.last().fail(exchange_stage::response_started);
    CHECK(fixture.startedExchanges() == 1);
    CHECK_FALSE(answer->ended);
    CHECK(answer->closed);
}

TEST_CASE("a resumable stream continues after its last complete event and keeps its first head")
{
    relay_fixture fixture(call_kind::resumable_stream, 2);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {{"Signature", "first"}});
    fixture.last().body(event(1) + event(2) + "id: 3\nda");
    fixture.last().fail(exchange_stage::response_started);
    REQUIRE(fixture.startedExchanges() == 2);
    CHECK(fixture.last().bytes.ends_with(" after 2"));
    fixture.last().head(200, {{"Signature", "second"}});
    fixture.last().body(event(2) + event(3));
    fixture.last().end();
    CHECK(answer->body == event(1) + event(2) + event(3));
    CHECK(answer->fields.find("Signature") == "first");
    CHECK(answer->ended);
    CHECK(fixture.runs.countsOf(0) == run_counts{{"one", 1}});
}

TEST_CASE("a stream with a missing event is not ended as complete")
{
    relay_fixture fixture(call_kind::resumable_stream, 1);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {});
    fixture.last().body(event(1) + event(3));
    CHECK_FALSE(answer->ended);
    CHECK(answer->closed);
}

TEST_CASE("a call over its account's quota is refused with Retry-After")
{
    relay_fixture fixture;
    fixture.account.unitsPerSecond = 10.0;
    fixture.account.burst = 1.0;
    fixture.install(2);
    fixture.quota.setNodes(1);
    fixture.time.advance(5s);
    fixture.startCall();
    const auto refused = fixture.startCall();
    CHECK(refused->status == 429);
    CHECK(refused->fields.count("Retry-After") == 1);
    CHECK(fixture.startedExchanges() == 1);
}

TEST_CASE("units of a call that did not run are refunded")
{
    relay_fixture fixture(call_kind::at_most_once, 1);
    fixture.account.unitsPerSecond = 10.0;
    fixture.account.burst = 1.0;
    fixture.install(2);
    fixture.quota.setNodes(1);
    fixture.time.advance(5s);
    fixture.upstreams.remove("b");
    const auto first = fixture.startCall();
    fixture.last().head(503, {{"Meaning", "not_run"}});
    CHECK(first->status == 503);
    fixture.startCall();
    CHECK(fixture.startedExchanges() == 2);
}

TEST_CASE("an older configuration does not replace a newer one")
{
    relay_fixture fixture;
    fixture.install(5);
    fixture.defaultRoute.prefix = "/old/";
    fixture.install(4);
    CHECK(fixture.relay.table()->version() == 5);
    CHECK(fixture.startCall("/old/x")->status == 404);
}

TEST_CASE("an upstream is ejected after consecutive failures while another one is available")
{
    relay_fixture fixture(call_kind::at_most_once, 1);
    for (std::uint32_t time = 0; time < ejection_failure_threshold; ++time)
        fixture.upstreams.recordFailure("a");
    for (int round = 0; round < 20; ++round) {
        fixture.startCall();
        CHECK(fixture.last().bytes.find(" to b ") != std::string::npos);
    }
    fixture.time.advance(max_ejection_time);
    CHECK_FALSE(fixture.upstreams.find("a")->isEjected(fixture.time.now()));
}

TEST_CASE("draining and removed upstreams receive no new calls")
{
    relay_fixture fixture(call_kind::at_most_once, 1);
    upstream_record draining = fixture.upstreams.find("a")->record;
    draining.draining = true;
    fixture.upstreams.put(draining);
    for (int round = 0; round < 10; ++round) {
        fixture.startCall();
        CHECK(fixture.last().bytes.find(" to b ") != std::string::npos);
    }
    fixture.upstreams.remove("b");
    CHECK(fixture.startCall()->status == 503);
}

TEST_CASE("a call that gets no permit for an upstream goes to another one")
{
    relay_fixture fixture;
    fixture.permits.refused["a"] = {false, std::chrono::seconds(1), std::chrono::seconds(1)};
    for (int round = 0; round < 10; ++round) {
        const auto answer = fixture.startCall();
        CHECK(fixture.last().to.port == 'b');
        fixture.last().head(200, {});
        fixture.last().end();
        CHECK(answer->status == 200);
    }
}

TEST_CASE("a call for which no upstream has a permit is refused at once, with the time of the next one")
{
    relay_fixture fixture;
    fixture.permits.refused["a"] = {false, std::chrono::seconds(1), std::chrono::seconds(2)};
    fixture.permits.refused["b"] = {false, std::chrono::seconds(1), std::chrono::seconds(1)};
    const auto answer = fixture.startCall();
    CHECK(answer->status == 503);
    CHECK(fixture.startedExchanges() == 0);
    const double returnAfter = std::stod(std::string(answer->fields.find("Retry-After")));
    CHECK(returnAfter >= 1.0);
    CHECK(returnAfter <= 2.0);
}

TEST_CASE("a call waits for its permit, and is not sent if the upstream drained or the caller left meanwhile")
{
    relay_fixture fixture;
    fixture.permits.pending["a"];
    fixture.permits.pending["b"];
    const auto grant = [&](const std::string &upstream) {
        if (const auto done = std::exchange(fixture.permits.pending[upstream], nullptr))
            done({true, {}, {}});
    };
    const auto first = fixture.startCall();
    CHECK(fixture.startedExchanges() == 0);
    grant("a");
    grant("b");
    CHECK(fixture.startedExchanges() == 1);

    const auto second = fixture.startCall();
    second->onClosed();
    grant("a");
    grant("b");
    CHECK(fixture.startedExchanges() == 1);

    const auto third = fixture.startCall();
    for (const char *id : {"a", "b"})
        fixture.upstreams.put({id, "s", {"10.0.0.1", static_cast<std::uint16_t>(*id)}, "hall", 4, true});
    grant("a");
    grant("b");
    CHECK(third->status == 503);
    CHECK(fixture.startedExchanges() == 1);
}

TEST_CASE("what an upstream states about its limit is passed on with every answer")
{
    relay_fixture fixture;
    fixture.startCall();
    fixture.last().head(200, {{"Limit", "1.5"}});
    fixture.last().end();
    fixture.startCall();
    fixture.last().head(500, {});
    REQUIRE(fixture.permits.answers.size() == 2);
    CHECK(fixture.permits.answers[0].second == 1.5);
    CHECK_FALSE(fixture.permits.answers[1].second);
}

TEST_CASE("an upstream that states in an answer that it leaves gets no further call, whatever its row says")
{
    relay_fixture fixture;
    std::vector<std::string> told;
    fixture.upstreams.onUnavailable([&](const upstream_record &each) { told.push_back(each.id); });
    fixture.startCall();
    const std::uint16_t leaving = fixture.last().to.port;
    fixture.last().head(200, {{"Leaving", "yes"}});
    fixture.last().end();
    const std::string id(1, static_cast<char>(leaving));
    CHECK(told == std::vector<std::string>{id});
    fixture.upstreams.put({id, "s", {"10.0.0.1", leaving}, "hall", 4}); // a stale row
    for (int round = 0; round < 20; ++round) {
        fixture.startCall();
        CHECK(fixture.last().to.port != leaving);
    }
    fixture.upstreams.remove(id);
    fixture.upstreams.put({id, "s", {"10.0.0.1", leaving}, "hall", 4}); // of a restored store
    CHECK_FALSE(fixture.upstreams.find(id));
    fixture.upstreams.put({"new", "s", {"10.0.0.1", leaving}, "hall", 4}); // a new start
    CHECK(fixture.upstreams.ready("s").size() == 2);
}

TEST_CASE("a call in progress at an upstream that leaves ends there")
{
    relay_fixture fixture(call_kind::resumable_stream);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {{"Leaving", "yes"}});
    fixture.last().body(event(1));
    fixture.last().body(event(2));
    fixture.last().end();
    CHECK(answer->status == 200);
    CHECK(answer->body == event(1) + event(2));
    CHECK(fixture.startedExchanges() == 1);
}

TEST_CASE("an upstream that asks to wait gets nothing until the end of the time, and the call goes elsewhere")
{
    relay_fixture fixture;
    const auto refused = fixture.startCall();
    const std::uint16_t waiting = fixture.last().to.port;
    fixture.last().head(503, {{"Meaning", "not_run"}, {"Wait ms", "1500"}});
    CHECK(fixture.startedExchanges() == 2);
    CHECK(fixture.last().to.port != waiting);
    fixture.last().head(200, {});
    fixture.last().end();
    CHECK(refused->status == 200);
    for (int round = 0; round < 14; ++round) {
        fixture.time.advance(std::chrono::milliseconds(100));
        fixture.startCall();
        CHECK(fixture.last().to.port != waiting);
        fixture.last().head(200, {});
        fixture.last().end();
    }
    CHECK_FALSE(
        fixture.upstreams.find(std::string(1, static_cast<char>(waiting)))->isEjected(fixture.time.now()));
    fixture.time.advance(std::chrono::milliseconds(101));
    bool isUsedAgain = false;
    for (int round = 0; round < 20; ++round) {
        fixture.startCall();
        isUsedAgain = isUsedAgain || fixture.last().to.port == waiting;
    }
    CHECK(isUsedAgain);
}

TEST_CASE("while all upstreams ask to wait a call is refused at once, with the time at which one takes it")
{
    relay_fixture fixture;
    const auto first = fixture.startCall();
    fixture.last().head(503, {{"Meaning", "not_run"}, {"Wait ms", "1000"}});
    fixture.last().head(503, {{"Meaning", "not_run"}, {"Wait ms", "4000"}});
    CHECK(first->status == 503);
    CHECK(fixture.startedExchanges() == 2);
    std::set<std::string> returnTimes;
    for (int round = 0; round < 10; ++round) {
        const auto answer = fixture.startCall();
        CHECK(answer->status == 503);
        const std::string returnAfter(answer->fields.find("Retry-After"));
        CHECK(std::stod(returnAfter) >= 1.0);
        CHECK(std::stod(returnAfter) <= 1.5);
        returnTimes.insert(returnAfter);
    }
    CHECK(returnTimes.size() > 5);
    CHECK(fixture.startedExchanges() == 2);
}

TEST_CASE("calls come back in steps when a wait has ended")
{
    relay_fixture fixture;
    fixture.upstreams.remove("b");
    fixture.startCall();
    fixture.last().head(503, {{"Meaning", "not_run"}, {"Wait ms", "1000"}});
    fixture.time.advance(std::chrono::milliseconds(1001));
    for (int round = 0; round < 10; ++round)
        fixture.startCall();
    CHECK(fixture.startedExchanges() == 1 + first_resume_limit);
    fixture.last().head(200, {});
    fixture.last().end();
    for (int round = 0; round < 10; ++round)
        fixture.startCall();
    CHECK(fixture.startedExchanges() > 1 + 2 * first_resume_limit);
    for (int round = 0; round < 10; ++round) {
        fixture.last().head(200, {});
        fixture.last().end();
        fixture.startCall();
    }
    const std::size_t before = fixture.startedExchanges();
    for (int round = 0; round < 30; ++round)
        fixture.startCall();
    CHECK(fixture.startedExchanges() == before + 30);
}

TEST_CASE("a wait ends with a new start of the upstream")
{
    relay_fixture fixture;
    fixture.upstreams.remove("b");
    fixture.startCall();
    fixture.last().head(503, {{"Meaning", "not_run"}, {"Wait ms", "60000"}});
    CHECK(fixture.startCall()->status == 503);
    fixture.upstreams.remove("a");
    fixture.upstreams.put({"a2", "s", {"10.0.0.1", 'a'}, "hall", 4});
    fixture.startCall();
    CHECK(fixture.startedExchanges() == 2);
}
