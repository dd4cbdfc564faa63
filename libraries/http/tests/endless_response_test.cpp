#include "event_loop_thread.h"
#include "http/connection_pool.h"
#include "http/message_parser.h"
#include "loopback.h"
#include "raw_peer.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace ivypier;

namespace {

/// What an endless sender gives up after, and what a bounded receiver takes at most: its bounds, and the
/// buffers of both sockets.
constexpr std::size_t sent_at_most = std::size_t{64} * 1024 * 1024;
constexpr std::size_t taken_at_most = std::size_t{16} * 1024 * 1024;

class counting_observer final : public http::exchange_observer
{
public:
    void onHead(http::response_head) override
    {
    }
    void onBody(std::string_view data) override
    {
        bodyBytes += data.size();
    }
    void onEnd() override
    {
        ended.set_value(std::nullopt);
    }
    void onFailed(const http::exchange_failure &failure) override
    {
        ended.set_value(failure);
    }

    std::size_t bodyBytes = 0;
    std::promise<std::optional<http::exchange_failure>> ended;
};

struct endless_case
{
    const char *description;
    std::string start; ///< sent once
    std::string repeated; ///< sent until the connection is closed
    std::string reason; ///< of the failure that is expected
};

std::string head(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
}

} // namespace

TEST_CASE("a response with endless bytes that are no answer ends the exchange and closes the connection")
{
    const std::string filler(16 * 1024, 'x');
    std::string interimHeads;
    while (interimHeads.size() < filler.size())
        interimHeads += "HTTP/1.1 100 Continue\r\n\r\n";
    std::string smallChunks;
    while (smallChunks.size() < filler.size())
        smallChunks += "1;" + std::string(1000, 'e') + "\r\nx\r\n";
    const endless_case each = GENERATE_COPY(values<endless_case>({
        {"head", "HTTP/1.1 200 OK\r\nX: ", filler, "header limit exceeded"},
        {"chunk extension", head("Transfer-Encoding: chunked\r\n") + "1;e=", filler, "the chunk headers"},
        {"trailers", head("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\nX: ", filler,
         "the chunk headers"},
        {"chunk extensions", head("Transfer-Encoding: chunked\r\n"), smallChunks, "the chunk headers"},
        {"interim heads", "", interimHeads, "too many interim responses"},
        {"answer to another call", head("Other: 1\r\n"), filler, "the answer to another request is too long"},
        {"chunked answer to another call", head("Other: 1\r\nTransfer-Encoding: chunked\r\n"),
         "4000\r\n" + filler + "\r\n", "the answer to another request is too long"},
        {"no head at all", "", filler, "bad"},
    }));
    INFO(each.description);
    const endpoint address = loopbackAddress(137, 9300);
    raw_peer listener = raw_peer::listenOn(address);
    event_loop_thread thread;
    auto pool = thread.run([&] { return std::make_unique<http::connection_pool>(thread.loop); });
    counting_observer observer;
    http::exchange_options options;
    options.isMatchingResponse
        = [](const http::response_head &response) { return response.fields.count("Other") == 0; };
    auto exchange = thread.run([&] {
        return pool->start(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", std::move(options), observer);
    });
    {
        raw_peer upstream = listener.accept();
        upstream.readUntil("\r\n\r\n");
        upstream.send(each.start);
        CHECK(upstream.sendUntilClosed(each.repeated, sent_at_most) < taken_at_most);
    }
    const auto failure = observer.ended.get_future().get();
    REQUIRE(failure);
    CHECK_THAT(failure->reason, Catch::Matchers::Contains(each.reason));
    CHECK(observer.bodyBytes < 1024 * 1024);
    thread.run([&] {
        exchange.reset();
        pool.reset();
    });
}

TEST_CASE("the chunk headers and trailers of a request are bounded, also when they arrive one byte at a time")
{
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &opening : {std::string("1;e="), std::string("1\r\nx\r\n0\r\nX: ")}) {
        http::request_parser parser({});
        std::string unconsumed = start + opening;
        outcome<std::size_t> consumed = parser.feed(unconsumed);
        std::size_t fed = 0;
        while (consumed && fed < 4 * http::max_chunk_header_bytes) {
            unconsumed.erase(0, consumed.value());
            unconsumed += 'x';
            ++fed;
            consumed = parser.feed(unconsumed);
        }
        REQUIRE_FALSE(consumed);
        CHECK(consumed.error().code == error_code::too_large);
        CHECK(fed <= http::max_chunk_header_bytes + 1);
    }
}

TEST_CASE("a body in the smallest chunks is accepted")
{
    std::string text = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t bodyBytes = 100'000;
    for (std::size_t index = 0; index < bodyBytes; ++index)
        text += "1\r\nx\r\n";
    text += "0\r\n\r\n";
    http::request_parser parser({});
    std::string_view rest = text;
    while (!parser.isDone()) {
        const auto consumed = parser.feed(rest);
        REQUIRE(consumed);
        rest.remove_prefix(consumed.value());
    }
    CHECK(parser.takeBody().size() == bodyBytes);
}
