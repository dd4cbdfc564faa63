#include "base/event_loop.h"
#include "base/log_event.h"
#include "http/server.h"
#include "loopback.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <optional>

using namespace ivypier;
using namespace ivypier::rpc;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t port = 7993;
constexpr duration call_timeout = 30s;

secret_key fleetKey()
{
    return secret_key::fromPassphrase("a passphrase of one fleet").value();
}

/// A peer that keeps the first request unanswered until release(), and answers all others at once.
struct slow_peer
{
    slow_peer(event_loop &loop, const endpoint &address)
        : methods(loop, fleetKey())
    {
        configureLog("tests", log_level::error);
        methods.add("ping", [](const Json::Value &) { return outcome<Json::Value>(Json::Value("pong")); });
        auto listening = http::server::listen(
            {.address = address}, [this](http::request incoming, std::shared_ptr<http::responder> caller) {
                const std::lock_guard guard(mutex);
                if (!heldRequest && !released) {
                    heldRequest = std::move(incoming);
                    heldCaller = std::move(caller);
                } else {
                    methods.handle(std::move(incoming), std::move(caller));
                }
            });
        REQUIRE(listening);
        server = std::move(listening.value());
    }

    bool isHolding()
    {
        const std::lock_guard guard(mutex);
        return heldRequest.has_value();
    }

    void release()
    {
        const std::lock_guard guard(mutex);
        released = true;
        methods.handle(std::move(*heldRequest), std::move(heldCaller));
        heldRequest.reset();
    }

    peer_server methods;
    std::mutex mutex;
    std::optional<http::request> heldRequest;
    std::shared_ptr<http::responder> heldCaller;
    bool released = false;
    std::unique_ptr<http::server> server;
};

/// Counts the tasks that are posted to another scheduler.
class counting_scheduler final : public scheduler
{
public:
    explicit counting_scheduler(scheduler &tasks)
        : m_tasks(tasks)
    {
    }

    time_point now() const override
    {
        return m_tasks.now();
    }
    std::int64_t wallMilliseconds() const override
    {
        return m_tasks.wallMilliseconds();
    }
    void post(task work) override
    {
        ++posted;
        m_tasks.post(std::move(work));
    }
    timer_id after(duration delay, task work) override
    {
        return m_tasks.after(delay, std::move(work));
    }
    void cancel(timer_id timer) override
    {
        m_tasks.cancel(timer);
    }

    std::atomic<int> posted = 0;

private:
    scheduler &m_tasks;
};

/// Runs the loop until a condition holds; fails the test after `call_timeout`.
void runUntil(event_loop &loop, const std::function<bool()> &condition)
{
    const time_point deadline = loop.now() + call_timeout;
    std::function<void()> check = [&] {
        if (condition() || loop.now() > deadline)
            loop.stop();
        else
            loop.after(5ms, check);
    };
    loop.post(check);
    loop.run();
    REQUIRE(condition());
}

} // namespace

TEST_CASE("a peer client that is destroyed with a call in flight does not call its completion")
{
    event_loop loop;
    const endpoint address = loopbackAddress(151, port);
    slow_peer peer(loop, address);
    const auto transport = std::make_shared<http::client>();
    bool wasFirstCompleted = false;
    auto first = std::make_unique<http_peer_client>(loop, transport, fleetKey());
    first->call(address, "ping", Json::Value(Json::objectValue), call_timeout,
                [&](const outcome<Json::Value> &) { wasFirstCompleted = true; });
    runUntil(loop, [&] { return peer.isHolding(); });
    first.reset();

    // The response of the first call arrives before the one of a call that is sent after it.
    peer.release();
    int completed = 0;
    http_peer_client second(loop, transport, fleetKey());
    for (int round = 1; round <= 5; ++round) {
        second.call(address, "ping", Json::Value(Json::objectValue), call_timeout,
                    [&](const outcome<Json::Value> &result) {
                        CHECK(result.has_value());
                        ++completed;
                    });
        runUntil(loop, [&] { return completed == round; });
    }
    CHECK_FALSE(wasFirstCompleted);
}

TEST_CASE("a peer client that is destroyed with a call in flight no longer uses its scheduler")
{
    event_loop loop;
    counting_scheduler tasks(loop);
    const endpoint address = loopbackAddress(153, port);
    slow_peer peer(loop, address);
    const auto transport = std::make_shared<http::client>();
    auto first = std::make_unique<http_peer_client>(tasks, transport, fleetKey());
    first->call(address, "ping", Json::Value(Json::objectValue), call_timeout,
                [](const outcome<Json::Value> &) {});
    runUntil(loop, [&] { return peer.isHolding(); });
    first.reset();

    // The response of the first call arrives before the one of a call that is sent after it.
    peer.release();
    int completed = 0;
    http_peer_client second(loop, transport, fleetKey());
    for (int round = 1; round <= 5; ++round) {
        second.call(address, "ping", Json::Value(Json::objectValue), call_timeout,
                    [&](const outcome<Json::Value> &) { ++completed; });
        runUntil(loop, [&] { return completed == round; });
    }
    CHECK(tasks.posted == 0);
}

TEST_CASE("a peer client completes its calls as tasks of its scheduler")
{
    event_loop loop;
    const endpoint address = loopbackAddress(152, port);
    slow_peer peer(loop, address);
    http_peer_client client(loop, std::make_shared<http::client>(), fleetKey());
    std::optional<outcome<Json::Value>> result;
    client.call(address, "ping", Json::Value(Json::objectValue), call_timeout,
                [&](outcome<Json::Value> each) { result = std::move(each); });
    runUntil(loop, [&] { return peer.isHolding(); });
    CHECK_FALSE(result);
    peer.release();
    runUntil(loop, [&] { return result.has_value(); });
    REQUIRE(result->has_value());
    CHECK(result->value() == Json::Value("pong"));
}
