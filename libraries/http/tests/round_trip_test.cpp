#include "http/client.h"
#include "http/server.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <future>
#include <mutex>
#include <unistd.h>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

constexpr auto wait_timeout = 20s;

/// Returns an address derived from the process id, so that concurrent test processes don't collide.
endpoint testAddress(std::uint16_t port)
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127.130." + std::to_string(process / 250 % 250) + '.' + std::to_string(process % 250 + 1), port};
}

/// Collects a streamed response.
class collecting_observer final : public http::stream_observer
{
public:
    void onBegin(int, const http::header_map &) override
    {
    }

    void onData(std::string data) override
    {
        const std::lock_guard lock(m_mutex);
        m_text += data;
        m_changed.notify_all();
    }

    void onEnd() override
    {
        finish(std::nullopt);
    }

    void onFailed(const error &failure) override
    {
        finish(failure);
    }

    bool waitForText(const std::string &expected)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, wait_timeout, [&] { return m_text == expected; });
    }

    bool waitForEnd()
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, wait_timeout, [&] { return m_ended; });
    }

    std::optional<error> failure()
    {
        const std::lock_guard lock(m_mutex);
        return m_failure;
    }

private:
    void finish(std::optional<error> failure)
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
        m_failure = std::move(failure);
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_text;
    bool m_ended = false;
    std::optional<error> m_failure;
};

outcome<http::response> sendRequest(http::client &client, const endpoint &to, http::request message,
                                    duration timeout = wait_timeout)
{
    std::promise<outcome<http::response>> answered;
    client.send(to, std::move(message), {timeout, http::repeatability::repeatable},
                [&](outcome<http::response> answer) { answered.set_value(std::move(answer)); });
    return answered.get_future().get();
}

} // namespace

TEST_CASE("a request and its response arrive complete")
{
    const endpoint address = testAddress(7001);
    const auto server
        = http::server::listen({.address = address}, [](http::request incoming, auto responder) {
              responder->respond({201,
                                  {{"X-Query", incoming.parameter("q")}},
                                  incoming.method + incoming.path + incoming.body});
          });
    REQUIRE(server);
    http::client client;
    const auto answer = sendRequest(client, address,
                                    {.method = "POST", .path = "/a%20b", .query = "q=x%26y", .body = "text"});
    REQUIRE(answer);
    CHECK(answer.value().status == 201);
    CHECK(answer.value().header("x-query") == "x&y");
    CHECK(answer.value().body == "POST/a%20btext");
}

TEST_CASE("parts of a streamed response arrive as they are written")
{
    const endpoint address = testAddress(7002);
    std::promise<std::shared_ptr<http::responder>> responderReady;
    const auto server
        = http::server::listen({.address = address}, [&](const http::request &, auto responder) {
              responder->begin(200, {{"Content-Type", "text/event-stream"}});
              responderReady.set_value(responder);
          });
    REQUIRE(server);
    http::client client;
    const auto observer = std::make_shared<collecting_observer>();
    const auto exchange
        = client.stream(address, {}, {wait_timeout, http::repeatability::repeatable}, observer);
    const auto responder = responderReady.get_future().get();
    responder->write("one ");
    CHECK(observer->waitForText("one "));
    responder->write("two");
    CHECK(observer->waitForText("one two"));
    responder->finish();
    CHECK(observer->waitForEnd());
    CHECK_FALSE(observer->failure());
}

TEST_CASE("a truncated response is reported as a failure")
{
    const endpoint address = testAddress(7003);
    const auto server = http::server::listen({.address = address}, [](const http::request &, auto responder) {
        responder->begin(200, {});
        responder->write("half"); // the responder is destroyed without finish()
    });
    REQUIRE(server);
    http::client client;
    const auto observer = std::make_shared<collecting_observer>();
    const auto exchange
        = client.stream(address, {}, {wait_timeout, http::repeatability::not_repeatable}, observer);
    REQUIRE(observer->waitForEnd());
    REQUIRE(observer->failure());
    CHECK(observer->failure()->code == error_code::interrupted);

    const auto whole = sendRequest(client, address, {});
    REQUIRE_FALSE(whole);
    CHECK(whole.error().code == error_code::interrupted);
}

TEST_CASE("a body over the limit is rejected with status 413")
{
    const endpoint address = testAddress(7004);
    const auto server
        = http::server::listen({.address = address, .bodyLimit = 1000},
                               [](const http::request &, auto responder) { responder->respond({}); });
    REQUIRE(server);
    http::client client;
    const auto answer = sendRequest(client, address, {.method = "POST", .body = std::string(1001, 'x')});
    REQUIRE(answer);
    CHECK(answer.value().status == 413);
    const auto fits = sendRequest(client, address, {.method = "POST", .body = std::string(1000, 'x')});
    REQUIRE(fits);
    CHECK(fits.value().status == 200);
}

TEST_CASE("a refused connection is reported as unavailable")
{
    http::client client;
    const auto answer = sendRequest(client, testAddress(7005), {});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == error_code::unavailable);
}

TEST_CASE("a call without a response times out")
{
    const endpoint address = testAddress(7006);
    std::shared_ptr<http::responder> heldResponder;
    const auto server = http::server::listen(
        {.address = address}, [&](const http::request &, auto responder) { heldResponder = responder; });
    REQUIRE(server);
    http::client client;
    const auto answer = sendRequest(client, address, {}, 300ms);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == error_code::timed_out);
    heldResponder->respond({});
}

TEST_CASE("a disconnected caller is detected on a later write")
{
    const endpoint address = testAddress(7007);
    std::promise<std::shared_ptr<http::responder>> responderReady;
    const auto server
        = http::server::listen({.address = address}, [&](const http::request &, auto responder) {
              responder->begin(200, {});
              responderReady.set_value(responder);
          });
    REQUIRE(server);
    http::client client;
    const auto observer = std::make_shared<collecting_observer>();
    const auto exchange
        = client.stream(address, {}, {wait_timeout, http::repeatability::not_repeatable}, observer);
    const auto responder = responderReady.get_future().get();
    std::promise<void> closed;
    responder->onClosed([&] { closed.set_value(); });
    responder->write("first");
    REQUIRE(observer->waitForText("first"));
    exchange->cancel();
    auto noticed = closed.get_future();
    for (int tries = 0; tries < 400 && noticed.wait_for(50ms) != std::future_status::ready; ++tries)
        responder->write("more");
    CHECK(noticed.wait_for(0s) == std::future_status::ready);
    CHECK_FALSE(responder->isOpen());
}
