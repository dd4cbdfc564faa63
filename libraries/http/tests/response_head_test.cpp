#include "event_loop_thread.h"
#include "http/connection_pool.h"
#include "http/listener.h"
#include "loopback.h"
#include "raw_peer.h"

#include <catch2/catch.hpp>

#include <future>
#include <optional>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view request_bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

struct received
{
    int status = 0;
    http::field_list fields;
    std::string body;
    std::optional<http::exchange_failure> failure;
};

class head_observer final : public http::exchange_observer
{
public:
    void onHead(http::response_head head) override
    {
        m_received.status = head.status;
        m_received.fields = head.fields;
    }
    void onBody(std::string_view data) override
    {
        m_received.body.append(data);
    }
    void onEnd() override
    {
        m_ended.set_value(m_received);
    }
    void onFailed(const http::exchange_failure &failure) override
    {
        m_received.failure = failure;
        m_ended.set_value(m_received);
    }
    received result()
    {
        return m_ended.get_future().get();
    }

private:
    received m_received;
    std::promise<received> m_ended;
};

/// Returns what a client gets from an upstream that sends these bytes and closes the connection.
received responseTo(std::string_view bytes, bool isBytewise = false)
{
    const endpoint address = loopbackAddress(135, 9001);
    raw_peer upstream = raw_peer::listenOn(address);
    event_loop_thread thread;
    auto pool = thread.run([&] { return std::make_unique<http::connection_pool>(thread.loop); });
    head_observer observer;
    auto exchange
        = thread.run([&] { return pool->start(address, std::string(request_bytes), {}, observer); });
    {
        raw_peer connection = upstream.accept();
        connection.readUntil(head_end);
        if (isBytewise) {
            for (const char &each : bytes)
                connection.send({&each, 1});
        } else {
            connection.send(bytes);
        }
    }
    const received result = observer.result();
    thread.run([&] {
        exchange.reset();
        pool.reset();
    });
    return result;
}

std::string withStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + " Reason\r\nContent-Length: 2\r\n\r\nno";
}

} // namespace

// Guards against statuses that HTTP does not have, taken for answers or for interim responses.
TEST_CASE("a response whose status is outside the classes of HTTP is no answer, and may have run")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes";
    for (const char *status : {"000", "001", "099", "101", "600", "999", "20", "2000", "-20", "abc"}) {
        INFO(status);
        const received result = responseTo(withStatus(status) + ok);
        REQUIRE(result.failure);
        CHECK(result.failure->stage == http::exchange_stage::sent);
        CHECK(result.status == 0);
        CHECK(result.body.empty());
    }
    for (const int status : {200, 299, 404, 599}) {
        const received result = responseTo(withStatus(std::to_string(status)));
        CHECK_FALSE(result.failure);
        CHECK(result.status == status);
    }
}

TEST_CASE("interim responses are skipped")
{
    const received result = responseTo("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
                                       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
    CHECK_FALSE(result.failure);
    CHECK(result.body == "yes");
}

// Guards against lines that are no field, passed on with the answer or taken for the end of its head.
TEST_CASE("a response with a malformed field is no answer, whole or a byte at a time")
{
    const std::vector<std::string> lines{"A B: x",
                                         " A: x",
                                         "A : x",
                                         "A\t: x",
                                         std::string("A\0B: x", 6),
                                         "A\x01: x",
                                         "A\x1f: x",
                                         "A\x7f: x",
                                         "A\x80: x",
                                         "A\xff: x",
                                         ": x",
                                         "A",
                                         "A(: x",
                                         "A\"B: x",
                                         "A: x\x01y",
                                         "A: x\x7fy",
                                         "A: x\ry",
                                         std::string("A: \0", 4),
                                         "A\nB: x\n"};
    const bool isBytewise = GENERATE(false, true);
    const bool isTrailer = GENERATE(false, true);
    for (const std::string &line : lines) {
        INFO("line '" << line << "'" << (isTrailer ? " in the trailers" : ""));
        const std::string bytes = isTrailer
            ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n" + line + "\r\n\r\n"
            : "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 3\r\n\r\nyes";
        const received result = responseTo(bytes, isBytewise);
        CHECK(result.failure);
        CHECK((isTrailer || result.status == 0));
    }
}

TEST_CASE("names and values of fields arrive as they were sent")
{
    const std::string value = "caf\xc3\xa9 \t \"quoted\"; a=b, c";
    const received result
        = responseTo("HTTP/1.1 200 OK\r\nX-!#$%&'*+-.^_`|~09: " + value + "\r\nContent-Length: 3\r\n\r\nyes");
    REQUIRE_FALSE(result.failure);
    CHECK(result.fields.find("X-!#$%&'*+-.^_`|~09") == value);
}
