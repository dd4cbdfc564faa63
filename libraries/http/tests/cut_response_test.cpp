#include "event_loop_thread.h"
#include "http/connection_pool.h"
#include "loopback.h"
#include "raw_peer.h"

#include <catch2/catch.hpp>

#include <future>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upload_bytes = std::size_t{30} * 1024 * 1024;
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view open_response = "HTTP/1.1 200 OK\r\n\r\npart";
constexpr int rounds = 20;

/// Waits for the end of one exchange.
class end_observer final : public http::exchange_observer
{
public:
    void onHead(http::response_head) override
    {
        headReceived.set_value();
    }
    void onBody(std::string_view data) override
    {
        body.append(data);
    }
    void onEnd() override
    {
        ended.set_value(true);
    }
    void onFailed(const http::exchange_failure &) override
    {
        ended.set_value(false);
    }

    /// Returns whether the response was taken for complete.
    bool isComplete()
    {
        std::future<bool> result = ended.get_future();
        REQUIRE(result.wait_for(10s) == std::future_status::ready);
        return result.get();
    }

    std::string body;
    std::promise<void> headReceived;
    std::promise<bool> ended;
};

/// An upload to an upstream that answers before it has read the upload.
struct upload_fixture
{
    upload_fixture()
        : address(loopbackAddress(134, 9001))
        , upstream(raw_peer::listenOn(address))
        , pool(thread.run([this] { return std::make_unique<http::connection_pool>(thread.loop); }))
    {
    }
    ~upload_fixture()
    {
        thread.run([this] {
            exchange.reset();
            pool.reset();
        });
    }

    /// Starts an upload, and returns the upstream's connection once the head of the request has arrived.
    raw_peer start(end_observer &observer, std::size_t bytes = upload_bytes)
    {
        std::string request
            = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
        request.append(bytes, 'x');
        thread.run([&] { exchange = pool->start(address, std::move(request), {}, observer); });
        raw_peer connection = upstream.accept();
        connection.readUntil(head_end);
        return connection;
    }

    endpoint address;
    raw_peer upstream;
    event_loop_thread thread;
    std::unique_ptr<http::connection_pool> pool;
    std::unique_ptr<http::outgoing_exchange> exchange;
};

} // namespace

// Guards against a part of a response that is taken for the whole because the upload took the reset.
TEST_CASE("a response without a length that ends with a reset during the upload is not complete")
{
    const bool isUnread = GENERATE(true, false);
    for (int round = 0; round < rounds; ++round) {
        upload_fixture fixture;
        end_observer observer;
        raw_peer connection = fixture.start(observer);
        connection.send(open_response);
        if (isUnread)
            connection.close(); // resets the connection, as there are unread bytes
        else
            connection.reset();
        CHECK_FALSE(observer.isComplete());
    }
}

TEST_CASE("a response without a length that is reset while its exchange is paused is not complete")
{
    const std::size_t bytes = GENERATE(std::size_t{0}, upload_bytes);
    for (int round = 0; round < rounds; ++round) {
        upload_fixture fixture;
        end_observer observer;
        raw_peer connection = fixture.start(observer, bytes);
        connection.send(open_response);
        observer.headReceived.get_future().wait();
        fixture.thread.run([&] { fixture.exchange->pause(); });
        connection.reset();
        std::this_thread::sleep_for(20ms);
        fixture.thread.run([&] { fixture.exchange->resume(); });
        CHECK_FALSE(observer.isComplete());
    }
}

TEST_CASE("a response without a length whose upstream closes in order is complete, however much it read")
{
    enum class upload { read, half_read, unread, unread_and_closed };
    const upload kind = GENERATE(upload::read, upload::half_read, upload::unread, upload::unread_and_closed);
    for (int round = 0; round < rounds; ++round) {
        upload_fixture fixture;
        end_observer observer;
        raw_peer connection = fixture.start(observer);
        if (kind == upload::read)
            connection.receive(upload_bytes);
        if (kind == upload::half_read)
            connection.receive(upload_bytes / 2);
        connection.send(open_response);
        connection.endSending();
        if (kind == upload::unread_and_closed)
            connection.close(); // the end of the stream, then a reset
        CHECK(observer.isComplete());
        CHECK(observer.body == "part");
    }
}
