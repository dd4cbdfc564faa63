#include "event_loop_thread.h"
#include "http/connection_pool.h"
#include "http/fetcher.h"
#include "loopback.h"
#include "raw_peer.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view request_bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

std::string makeResponse(const std::string &body, const std::string &fields = "")
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n"
        + body;
}

/// Collects one response.
class collecting_observer final : public http::exchange_observer
{
public:
    void onHead(http::response_head head) override
    {
        status = head.status;
        isOnReusedConnection = head.isOnReusedConnection;
    }
    void onBody(std::string_view data) override
    {
        body.append(data);
    }
    void onEnd() override
    {
        ended.set_value(std::nullopt);
    }
    void onFailed(const http::exchange_failure &failure) override
    {
        ended.set_value(failure);
    }

    /// Waits for the end of the exchange. Returns the failure, or nothing if the response was complete.
    std::optional<http::exchange_failure> result()
    {
        return ended.get_future().get();
    }

    int status = 0;
    bool isOnReusedConnection = false;
    std::string body;
    std::promise<std::optional<http::exchange_failure>> ended;
};

/// A pool on its own thread, and an upstream whose socket the test controls.
struct pool_fixture
{
    explicit pool_fixture(std::uint16_t port)
        : address(loopbackAddress(132, port))
        , upstream(raw_peer::listenOn(address))
        , pool(thread.run([this] { return std::make_unique<http::connection_pool>(thread.loop); }))
    {
    }
    ~pool_fixture()
    {
        thread.run([this] { pool.reset(); });
    }

    std::unique_ptr<http::outgoing_exchange> start(collecting_observer &observer,
                                                   http::exchange_options options = {})
    {
        return thread.run(
            [&] { return pool->start(address, std::string(request_bytes), options, observer); });
    }
    void end(std::unique_ptr<http::outgoing_exchange> &exchange)
    {
        thread.run([&] { exchange.reset(); });
    }

    endpoint address;
    raw_peer upstream;
    event_loop_thread thread;
    std::unique_ptr<http::connection_pool> pool;
};

} // namespace

TEST_CASE("a connection is reused after a complete response")
{
    pool_fixture fixture(9001);
    raw_peer connection = [&] {
        collecting_observer first;
        auto exchange = fixture.start(first);
        raw_peer accepted = fixture.upstream.accept();
        accepted.readUntil(head_end);
        accepted.send(makeResponse("one"));
        CHECK_FALSE(first.result());
        CHECK(first.body == "one");
        CHECK_FALSE(first.isOnReusedConnection);
        fixture.end(exchange);
        return accepted;
    }();
    collecting_observer second;
    auto exchange = fixture.start(second);
    connection.readUntil(head_end);
    connection.send(makeResponse("two"));
    CHECK_FALSE(second.result());
    CHECK(second.body == "two");
    CHECK(second.isOnReusedConnection);
    fixture.end(exchange);
    CHECK(fixture.thread.run([&] { return fixture.pool->counts(); }) == http::pool_counts{1, 1, 1});
}

TEST_CASE("destroying a completed exchange does not affect the next one on its connection")
{
    pool_fixture fixture(9002);
    collecting_observer first;
    collecting_observer second;
    auto ended = fixture.start(first);
    raw_peer connection = fixture.upstream.accept();
    connection.readUntil(head_end);
    connection.send(makeResponse("one"));
    CHECK_FALSE(first.result());
    auto running = fixture.start(second);
    connection.readUntil(head_end);
    fixture.end(ended); // the connection carries another exchange by now
    connection.send(makeResponse("two"));
    CHECK_FALSE(second.result());
    CHECK(second.body == "two");
    fixture.end(running);
}

TEST_CASE("a connection with extra bytes after the response is not reused")
{
    pool_fixture fixture(9003);
    collecting_observer first;
    auto exchange = fixture.start(first);
    raw_peer connection = fixture.upstream.accept();
    connection.readUntil(head_end);
    connection.send(makeResponse("one") + makeResponse("extra"));
    CHECK_FALSE(first.result());
    CHECK(first.body == "one");
    fixture.end(exchange);
    CHECK(connection.readAll().empty());
    CHECK(fixture.thread.run([&] { return fixture.pool->counts().open; }) == 0);
}

TEST_CASE("an idle connection is closed when data arrives")
{
    pool_fixture fixture(9004);
    collecting_observer first;
    auto exchange = fixture.start(first);
    raw_peer connection = fixture.upstream.accept();
    connection.readUntil(head_end);
    connection.send(makeResponse("one"));
    CHECK_FALSE(first.result());
    fixture.end(exchange);
    connection.send(makeResponse("late"));
    CHECK(connection.readAll().empty());
}

TEST_CASE("a peer that closes an idle connection is told to the observer, an exchange that ends is not")
{
    pool_fixture fixture(9018);
    std::promise<endpoint> closed;
    fixture.thread.run(
        [&] { fixture.pool->onIdleClosed([&](const endpoint &peer) { closed.set_value(peer); }); });
    collecting_observer answered;
    auto exchange = fixture.start(answered);
    raw_peer connection = fixture.upstream.accept();
    connection.readUntil(head_end);
    connection.send(makeResponse("one"));
    CHECK_FALSE(answered.result());
    std::future<endpoint> told = closed.get_future();
    CHECK(told.wait_for(50ms) == std::future_status::timeout);
    connection.close();
    REQUIRE(told.wait_for(10s) == std::future_status::ready);
    CHECK(told.get() == fixture.address);
    fixture.end(exchange);
}

TEST_CASE("a response to another request is skipped")
{
    pool_fixture fixture(9005);
    collecting_observer first;
    http::exchange_options options;
    options.isMatchingResponse
        = [](const http::response_head &head) { return head.fields.find("Id") == "mine"; };
    auto exchange = fixture.start(first, options);
    raw_peer connection = fixture.upstream.accept();
    connection.readUntil(head_end);
    connection.send(makeResponse("theirs", "Id: theirs\r\n") + makeResponse("ours", "Id: mine\r\n"));
    CHECK_FALSE(first.result());
    CHECK(first.body == "ours");
    fixture.end(exchange);
}

TEST_CASE("a failed exchange reports the stage it had reached")
{
    pool_fixture fixture(9006);
    collecting_observer refused;
    auto refusedExchange = fixture.thread.run([&] {
        return fixture.pool->start(loopbackAddress(132, 9), std::string(request_bytes), {}, refused);
    });
    CHECK(refused.result()->stage == http::exchange_stage::not_sent);
    collecting_observer unanswered;
    auto exchange = fixture.start(unanswered);
    {
        raw_peer connection = fixture.upstream.accept();
        connection.readUntil(head_end);
    }
    CHECK(unanswered.result()->stage == http::exchange_stage::sent);
    collecting_observer truncated;
    auto truncatedExchange = fixture.start(truncated);
    {
        raw_peer connection = fixture.upstream.accept();
        connection.readUntil(head_end);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    }
    CHECK(truncated.result()->stage == http::exchange_stage::response_started);
    fixture.thread.run([&] {
        refusedExchange.reset();
        exchange.reset();
        truncatedExchange.reset();
    });
}

TEST_CASE("a response without a length is complete when the connection ends")
{
    pool_fixture fixture(9007);
    collecting_observer first;
    auto exchange = fixture.start(first);
    {
        raw_peer connection = fixture.upstream.accept();
        connection.readUntil(head_end);
        connection.send("HTTP/1.1 200 OK\r\n\r\nall of it");
    }
    CHECK_FALSE(first.result());
    CHECK(first.body == "all of it");
    fixture.end(exchange);
}

// Guards against an empty or short answer that looks whole (MIXED, ORDER).
TEST_CASE("a response that ends inside its head is no response, wherever it was cut")
{
    const std::string fields = GENERATE("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "");
    const std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\n" + fields + "\r\n";
    pool_fixture fixture(9014);
    for (std::size_t length = 0; length < head.size(); ++length) {
        INFO("cut after " << length << " bytes of " << head);
        collecting_observer observer;
        auto exchange = fixture.start(observer);
        {
            raw_peer connection = fixture.upstream.accept();
            connection.readUntil(head_end);
            connection.send(head.substr(0, length));
        }
        CHECK(observer.result().has_value());
        CHECK(observer.status == 0);
        CHECK(observer.body.empty());
        fixture.end(exchange);
    }
}

TEST_CASE("dropping an exchange closes its connection")
{
    pool_fixture fixture(9008);
    collecting_observer first;
    auto exchange = fixture.start(first);
    raw_peer connection = fixture.upstream.accept();
    connection.readUntil(head_end);
    fixture.end(exchange);
    CHECK(connection.readAll().empty());
}

TEST_CASE("a fetch started from the completion of another one receives its response")
{
    pool_fixture fixture(9009);
    std::promise<std::string> second;
    auto httpFetcher = fixture.thread.run(
        [&] { return std::make_unique<http::fetcher>(fixture.thread.loop, *fixture.pool); });
    fixture.thread.run([&] {
        httpFetcher->send(fixture.address, {.path = "/1"}, 20s, [&](const outcome<http::response> &) {
            httpFetcher->send(fixture.address, {.path = "/2"}, 20s,
                              [&](const outcome<http::response> &answer) {
                                  second.set_value(answer ? answer.value().body : answer.error().message);
                              });
        });
    });
    raw_peer connection = fixture.upstream.accept();
    connection.readUntil(head_end);
    connection.send(makeResponse("one"));
    connection.readUntil(head_end);
    // Lets the task that destroys the first fetch run, which must not affect the second one.
    fixture.thread.run([] {});
    connection.send(makeResponse("two"));
    CHECK(second.get_future().get() == "two");
    fixture.thread.run([&] { httpFetcher.reset(); });
}

TEST_CASE("a fetch without a response fails when its timeout expires")
{
    pool_fixture fixture(9010);
    std::promise<error_code> ended;
    auto httpFetcher = fixture.thread.run(
        [&] { return std::make_unique<http::fetcher>(fixture.thread.loop, *fixture.pool); });
    fixture.thread.run([&] {
        httpFetcher->send(fixture.address, {}, 200ms, [&](const outcome<http::response> &answer) {
            ended.set_value(answer ? error_code::internal : answer.error().code);
        });
    });
    raw_peer connection = fixture.upstream.accept();
    CHECK(ended.get_future().get() == error_code::timed_out);
    fixture.thread.run([&] { httpFetcher.reset(); });
}

TEST_CASE("an exchange above the limit of connections fails as such, without being sent")
{
    pool_fixture fixture(9031);
    collecting_observer first;
    collecting_observer second;
    http::exchange_options options;
    options.maxConnections = 1;
    auto running = fixture.start(first, options);
    auto refused = fixture.start(second, options);
    const auto failure = second.result();
    REQUIRE(failure);
    CHECK(failure->stage == http::exchange_stage::not_sent);
    CHECK(failure->isConnectionLimit);
    fixture.end(running);
    fixture.end(refused);
}
