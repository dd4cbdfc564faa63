#include "upstream/http_model_engine.h"

#include "base/event_loop.h"
#include "http/server.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

endpoint testAddress(std::uint16_t port)
{
    const auto process = static_cast<unsigned>(getpid());
    return {"127.131." + std::to_string(process / 250 % 250) + '.' + std::to_string(process % 250 + 1), port};
}

/// Records one attempt's events and stops the loop after the last.
class recording_observer final : public upstream::generation_observer
{
public:
    explicit recording_observer(event_loop &loop)
        : m_loop(loop)
    {
    }

    void onStarted(const std::string &stream) override
    {
        log += "started " + stream + ';';
    }

    void onToken(std::uint64_t index, const std::string &text) override
    {
        log += std::to_string(index) + ' ' + text + ';';
    }

    void onFinished(const upstream::token_usage &usage) override
    {
        log += "finished " + std::to_string(usage.generatedTokens);
        m_loop.stop();
    }

    void onFailed(const error &failure) override
    {
        log += "failed " + std::string(name(failure.code));
        m_loop.stop();
    }

    std::string log;

private:
    event_loop &m_loop;
};

/// Returns the events of attempt "a1" when the engine responds with `status` and `body`. A truncated body is
/// never finished.
std::string collectEvents(std::uint16_t port, int status, const std::string &body, bool truncated)
{
    const endpoint address = testAddress(port);
    const auto server = http::server::listen({.address = address}, [&](const http::request &, auto reply) {
        if (status != 200) {
            reply->respond({status, {}, body});
            return;
        }
        reply->begin(200, {{"Content-Type", "text/event-stream"}, {"Ivypier-Stream", "s1"}});
        reply->write(body);
        if (!truncated)
            reply->finish();
    });
    REQUIRE(server);
    event_loop loop;
    upstream::http_model_engine engines(loop, std::make_shared<http::client>());
    const auto observer = std::make_shared<recording_observer>(loop);
    const auto running = engines.start(address, {.attempt = "a1", .body = "{}"}, observer);
    loop.after(20s, [&] { loop.stop(); });
    loop.run();
    return observer->log;
}

const std::string first_token = "data: {\"attempt\":\"a1\",\"index\":0,\"text\":\"one\"}\n\n";
const std::string second_token = "data: {\"attempt\":\"a1\",\"index\":1,\"text\":\"two\"}\n\n";
const std::string usage_event = "data: {\"attempt\":\"a1\",\"usage\":{\"completion_tokens\":2}}\n\n";

} // namespace

TEST_CASE("a complete stream yields its tokens in order and finishes once")
{
    CHECK(collectEvents(7101, 200, first_token + second_token + usage_event, false)
          == "started s1;0 one;1 two;finished 2");
}

TEST_CASE("a stream that is truncated or ends without its usage event fails", "[promise][promise-2]")
{
    CHECK(collectEvents(7102, 200, first_token, true) == "started s1;0 one;failed interrupted");
    CHECK(collectEvents(7103, 200, first_token, false) == "started s1;0 one;failed interrupted");
}

TEST_CASE("an event of another attempt fails the stream and is not forwarded", "[promise][promise-2]")
{
    const std::string foreign = "data: {\"attempt\":\"a2\",\"index\":1,\"text\":\"other\"}\n\n";
    CHECK(collectEvents(7104, 200, first_token + foreign + second_token + usage_event, false)
          == "started s1;0 one;failed interrupted");
    CHECK(collectEvents(7105, 200, first_token + "data: not JSON\n\n" + usage_event, false)
          == "started s1;0 one;failed interrupted");
}

TEST_CASE("status 503 is reported as refused (the attempt did not run), status 500 as interrupted")
{
    CHECK(collectEvents(7106, 503, "{}", false) == "failed refused");
    CHECK(collectEvents(7107, 500, "{}", false) == "failed interrupted");
}

TEST_CASE("an engine that does not listen is reported as unavailable")
{
    event_loop loop;
    upstream::http_model_engine engines(loop, std::make_shared<http::client>());
    const auto observer = std::make_shared<recording_observer>(loop);
    const auto running = engines.start(testAddress(7108), {.attempt = "a1", .body = "{}"}, observer);
    loop.after(20s, [&] { loop.stop(); });
    loop.run();
    CHECK(observer->log == "failed unavailable");
}
