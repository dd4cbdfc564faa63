#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

// review/9: a run that ended with an error 503 was answered 503, the promise that it was not run (REFUSED).
TEST_CASE("a call that may have run is not answered with a status that promises the contrary")
{
    const int status = GENERATE(408, 421, 429, 503);
    const call_kind kind = GENERATE(call_kind::at_most_once, call_kind::idempotent, call_kind::stream,
                                    call_kind::resumable_stream);
    const bool endsWithConnection = GENERATE(false, true);
    INFO(status << ", kind " << static_cast<int>(kind));
    relay_fixture fixture(kind, 2);
    const auto answer = fixture.startCall();
    std::size_t attempts = 0;
    while (answer->status == 0 && attempts < 4) {
        ++attempts;
        http::response_head head{status, {{"Signature", "of the upstream"}, {"Wait ms", "3000"}}};
        head.endsWithConnection = endsWithConnection;
        const auto exchange = fixture.transport.startedExchanges.back();
        exchange->observer->onHead(std::move(head));
        exchange->body("an error");
        exchange->end();
    }
    CHECK(answer->status == 502);
    CHECK(answer->fields.count("Signature") == 0);
    CHECK(answer->fields.count("Retry-After") == 0);
    CHECK(answer->body.empty());
    CHECK(fixture.startedExchanges() == (kind == call_kind::idempotent ? 2 : 1));
}

TEST_CASE("an error whose status promises nothing is returned unchanged")
{
    const int status = GENERATE(301, 400, 404, 409, 500, 501, 502, 504);
    relay_fixture fixture(call_kind::at_most_once);
    const auto answer = fixture.startCall();
    fixture.last().head(status, {{"Signature", "of the upstream"}});
    fixture.last().body("an error");
    fixture.last().end();
    CHECK(answer->status == status);
    CHECK(answer->fields.find("Signature") == "of the upstream");
    CHECK(answer->body == "an error");
}

TEST_CASE("a call that the upstream states not to have run is answered with the promise")
{
    relay_fixture fixture(call_kind::at_most_once, 1);
    const auto answer = fixture.startCall();
    for (int attempt = 0; attempt < 4 && answer->status == 0; ++attempt)
        fixture.last().head(503, {{"Meaning", "not_run"}});
    CHECK(answer->status == 503);
    CHECK(answer->fields.count("Retry-After") == 1);
}

TEST_CASE("a call that may have run at one upstream and was not run at the next one is not answered 503")
{
    relay_fixture fixture(call_kind::idempotent, 3);
    const auto answer = fixture.startCall();
    fixture.last().head(429, {});
    REQUIRE(fixture.startedExchanges() == 2);
    fixture.last().head(503, {{"Meaning", "not_run"}});
    CHECK(answer->status == 502);
}
