#include "http/client.h"
#include "http/server.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace ivypier;

namespace {

constexpr std::size_t call_count = 300;

class counting_observer final : public http::stream_observer
{
public:
    explicit counting_observer(std::atomic<std::size_t> &ended)
        : m_ended(ended)
    {
    }

    void onBegin(int, const http::header_map &) override
    {
    }

    void onData(std::string) override
    {
    }

    void onEnd() override
    {
        ++m_ended;
    }

    void onFailed(const error &) override
    {
    }

private:
    std::atomic<std::size_t> &m_ended;
};

} // namespace

TEST_CASE("all streams complete when more of them end at once than the library has threads",
          "[promise][promise-2]")
{
    constexpr std::uint16_t port = 23000;
    std::mutex mutex;
    std::vector<std::shared_ptr<http::responder>> responders;
    const auto holdResponder = [&](const http::request &, std::shared_ptr<http::responder> responder) {
        const std::lock_guard lock(mutex);
        responders.push_back(std::move(responder));
    };
    const endpoint address{"127.0.0.99", port};
    const auto server = http::server::listen({.address = address}, holdResponder);
    REQUIRE(server);
    http::client client;
    std::atomic<std::size_t> ended = 0;
    std::vector<std::shared_ptr<http::exchange>> calls;
    for (std::size_t index = 0; index < call_count; ++index)
        calls.push_back(client.stream(address, {}, {std::chrono::seconds(20)},
                                      std::make_shared<counting_observer>(ended)));
    const auto eventually = [](const auto &condition) {
        for (int tries = 0; tries < 3000 && !condition(); ++tries)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return condition();
    };
    REQUIRE(eventually([&] {
        const std::lock_guard lock(mutex);
        return responders.size() == call_count;
    }));
    for (const auto &each : responders)
        each->begin(200, {});
    for (const auto &each : responders)
        each->write("x");
    for (const auto &each : responders)
        each->finish();
    CHECK(eventually([&] { return ended == call_count; }));
}
