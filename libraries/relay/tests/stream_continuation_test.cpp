#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;
using http::exchange_stage;

namespace {

/// A resumable stream that has brought five events when its upstream breaks off inside the sixth, and goes on
/// at another upstream.
struct continued_stream : relay_fixture
{
    explicit continued_stream(std::uint32_t attempts = 2)
        : relay_fixture(call_kind::resumable_stream, attempts)
        , answer(startCall())
    {
        last().head(200, {{"Signature", "first"}});
        for (int number = 1; number <= 5; ++number)
            delivered += event(number);
        last().body(delivered + "id: 6\nda");
        last().fail(exchange_stage::response_started);
        REQUIRE(startedExchanges() == 2);
    }

    /// Begins an answer that ends with its connection.
    void headWithoutLength()
    {
        last().observer->onHead({200, {{"Signature", "second"}}, true});
    }

    bool isCutAfterDeliveredEvents() const
    {
        return answer->body == delivered && answer->closed && !answer->ended
            && answer->fields.find("Signature") == "first";
    }

    std::shared_ptr<received_response> answer;
    std::string delivered; ///< events that reached the caller
};

} // namespace

// Guards against the text of an error, or a false end, in the middle of a caller's stream (ORDER, MIXED).
TEST_CASE("a stream that goes on at an upstream which answers with an error is cut, without the error's text")
{
    const int status = GENERATE(500, 503, 404, 204, 301);
    continued_stream stream;
    stream.last().head(status, {});
    stream.last().body("data: an error\n\n");
    stream.last().end();
    CHECK(stream.isCutAfterDeliveredEvents());
}

TEST_CASE("a stream that goes on with text in place of events is cut, without the text")
{
    const std::string text
        = GENERATE("error", "error\n\n", "data: an error\n\n", "id: \ndata: x\n\n", ": c\nerror\n\n");
    continued_stream stream;
    stream.last().head(200, {});
    stream.last().body(text);
    stream.last().end();
    CHECK(stream.isCutAfterDeliveredEvents());
}

TEST_CASE("a stream that goes on without a single event is whole only if the answer states its end")
{
    const bool endsWithConnection = GENERATE(true, false);
    continued_stream stream;
    if (endsWithConnection)
        stream.headWithoutLength();
    else
        stream.last().head(200, {});
    stream.last().end();
    CHECK(stream.answer->body == stream.delivered);
    CHECK(stream.answer->ended == !endsWithConnection);
}

TEST_CASE("a stream goes on at a third upstream after one that answered with an error or with text")
{
    const bool isError = GENERATE(true, false);
    continued_stream stream(3);
    stream.upstreams.put({"c", "s", {"10.0.0.1", 99}, "hall", 4, false, false, {}, "v1"});
    stream.last().head(isError ? 500 : 200, {});
    if (!isError)
        stream.last().body("data: an error\n\n");
    REQUIRE(stream.startedExchanges() == 3);
    CHECK(stream.last().bytes.ends_with(" after 5"));
    stream.headWithoutLength();
    stream.last().body(event(6) + ": still there\n\n" + event(7));
    stream.last().end();
    CHECK(stream.answer->body == stream.delivered + event(6) + ": still there\n\n" + event(7));
    CHECK(stream.answer->ended);
}

TEST_CASE("a stream that ends inside an event, with its connection, goes on after its last whole event")
{
    relay_fixture fixture(call_kind::resumable_stream, 2);
    const auto answer = fixture.startCall();
    fixture.last().observer->onHead({200, {}, true});
    fixture.last().body(event(1) + "id: 2\ndata: x\n");
    fixture.last().end();
    REQUIRE(fixture.startedExchanges() == 2);
    CHECK(fixture.last().bytes.ends_with(" after 1"));
    fixture.last().observer->onHead({200, {}, true});
    fixture.last().body(event(2));
    fixture.last().end();
    CHECK(answer->body == event(1) + event(2));
    CHECK(answer->ended);
}
