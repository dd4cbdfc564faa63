#include "event_loop_thread.h"
#include "http/listener.h"
#include "loopback.h"
#include "raw_peer.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view get_request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// A listener on its own thread, with a handler supplied by the test.
struct listener_fixture
{
    explicit listener_fixture(http::listener::handler requests, http::connection_limits limits = {},
                              std::uint16_t port = 9000)
        : address(loopbackAddress(131, port))
    {
        thread.run([&] {
            listener
                = std::move(http::listener::open(thread.loop, address, limits, std::move(requests)).value());
        });
    }
    ~listener_fixture()
    {
        thread.run([&] { listener.reset(); });
    }

    endpoint address;
    std::unique_ptr<http::listener> listener;
    event_loop_thread thread;
};

void echoRequest(const http::incoming_request &incoming, const std::shared_ptr<http::reply> &replyWriter)
{
    replyWriter->send(200, {{"Path", incoming.head.target}}, incoming.body);
}

} // namespace

TEST_CASE("pipelined requests on a connection are answered in order")
{
    listener_fixture server(echoRequest);
    raw_peer caller = raw_peer::connectTo(server.address);
    caller.send(
        "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string first = caller.readUntil("abc");
    CHECK(first.find("Path: /1\r\n") != std::string::npos);
    CHECK(first.find("Content-Length: 3\r\n") != std::string::npos);
    CHECK(caller.readUntil("\r\n\r\n").find("Path: /2\r\n") != std::string::npos);
}

TEST_CASE("a response that is dropped before its end does not look complete")
{
    listener_fixture server([](const auto &, const auto &replyWriter) {
        replyWriter->begin(200, {});
        replyWriter->write("part");
    });
    raw_peer caller = raw_peer::connectTo(server.address);
    caller.send(get_request);
    const std::string text = caller.readAll();
    CHECK(text.find("4\r\npart\r\n") != std::string::npos);
    CHECK(text.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a streamed response ends with the last chunk and keeps the connection open")
{
    listener_fixture server([](const auto &, const auto &replyWriter) {
        replyWriter->begin(200, {});
        replyWriter->write("one");
        replyWriter->write("two");
        replyWriter->finish();
    });
    raw_peer caller = raw_peer::connectTo(server.address);
    for (int round = 0; round < 2; ++round) {
        caller.send(get_request);
        CHECK(caller.readUntil("0\r\n\r\n").find("3\r\none\r\n3\r\ntwo\r\n") != std::string::npos);
    }
}

TEST_CASE("malformed and oversized requests are rejected and their connections closed")
{
    listener_fixture server(echoRequest, {.headerBytes = 512, .bodyBytes = 8});
    const auto statusLineFor = [&](const std::string &text) {
        raw_peer caller = raw_peer::connectTo(server.address);
        caller.send(text);
        return caller.readAll().substr(0, 12);
    };
    CHECK(statusLineFor("nonsense\r\n\r\n") == "HTTP/1.1 400");
    CHECK(statusLineFor("GET / HTTP/1.1\r\nX: " + std::string(600, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(statusLineFor("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabcdefghi")
          == "HTTP/1.1 413");
    CHECK(
        statusLineFor(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
        == "HTTP/1.1 400");
}

TEST_CASE("connections with an unfinished header or without a request are closed after their timeouts")
{
    listener_fixture server(echoRequest, {.headerTimeout = 300ms, .idleTimeout = 300ms});
    raw_peer slow = raw_peer::connectTo(server.address);
    slow.send("GET / HTTP/1.1\r\nHos");
    CHECK(slow.readAll().empty());
    raw_peer idle = raw_peer::connectTo(server.address);
    CHECK(idle.readAll().empty());
}

TEST_CASE("a caller that disconnects before the response is detected")
{
    std::promise<void> disconnected;
    std::shared_ptr<http::reply> heldReply;
    listener_fixture server([&](const auto &, const auto &replyWriter) {
        heldReply = replyWriter;
        replyWriter->onClosed([&] { disconnected.set_value(); });
    });
    {
        raw_peer caller = raw_peer::connectTo(server.address);
        caller.send(get_request);
    }
    CHECK(disconnected.get_future().wait_for(20s) == std::future_status::ready);
    server.thread.run([&] { heldReply.reset(); });
}

TEST_CASE("shutdown answers pending requests with Connection: close and closes idle connections")
{
    std::promise<std::shared_ptr<http::reply>> replyReady;
    listener_fixture server(
        [&](const auto &, const auto &replyWriter) { replyReady.set_value(replyWriter); });
    raw_peer busy = raw_peer::connectTo(server.address);
    raw_peer idle = raw_peer::connectTo(server.address);
    busy.send(get_request);
    auto replyWriter = replyReady.get_future().get();
    server.thread.run([&] {
        server.listener->closeAfterResponses();
        server.listener->stopAccepting();
        server.listener->closeIdleConnections();
        CHECK(server.listener->unansweredRequestCount() == 1);
    });
    CHECK(idle.readAll().empty());
    server.thread.run([&] {
        replyWriter->send(200, {}, "whole");
        replyWriter.reset();
    });
    const std::string answer = busy.readAll();
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(answer.ends_with("whole"));
    CHECK(server.thread.run([&] { return server.listener->unansweredRequestCount(); }) == 0);
}

TEST_CASE("a response that ends just before idle connections are closed is sent completely")
{
    std::shared_ptr<http::reply> reply;
    listener_fixture server([&](const auto &, const auto &replyWriter) {
        reply = replyWriter;
        replyWriter->begin(200, {});
        replyWriter->write("first");
    });
    raw_peer caller = raw_peer::connectTo(server.address);
    caller.send(get_request);
    CHECK(caller.readUntil("5\r\nfirst\r\n").starts_with("HTTP/1.1 200"));
    const std::string last(100000, 'x');
    server.thread.run([&] {
        reply->write(last);
        reply->finish();
        reply.reset();
        server.listener->closeAfterResponses();
        CHECK(server.listener->unansweredRequestCount() == 1); // not sent yet
        server.listener->closeIdleConnections();
    });
    const std::string rest = caller.readUntil("0\r\n\r\n");
    CHECK(rest.find(last) != std::string::npos);
    CHECK(rest.ends_with("0\r\n\r\n"));
}

namespace {

/// Sends a part of a body, and the end of the response if `isWhole`.
http::listener::handler streamingHandler(bool isWhole)
{
    return [isWhole](const auto &, const std::shared_ptr<http::reply> &replyWriter) {
        replyWriter->begin(200, {{"Content-Type", "text/plain"}});
        replyWriter->write("part");
        if (isWhole)
            replyWriter->finish();
    };
}

constexpr std::string_view http10_request = "GET /x HTTP/1.0\r\nHost: a\r\n\r\n";

} // namespace

// Guards against chunk headers that a caller without the chunked coding takes for the body.
TEST_CASE("a streamed response to a caller of HTTP/1.0 ends with the connection")
{
    listener_fixture server(streamingHandler(true));
    raw_peer caller = raw_peer::connectTo(server.address);
    caller.send(http10_request);
    const std::string response = caller.readAll();
    CHECK(response.find("Transfer-Encoding") == std::string::npos);
    CHECK(response.find("Connection: close\r\n") != std::string::npos);
    CHECK(response.ends_with("\r\n\r\npart"));
    CHECK_FALSE(caller.wasReset());
}

// Guards against a part of a response that a caller of HTTP/1.0 takes for the whole.
TEST_CASE("a response to a caller of HTTP/1.0 that is dropped before its end is reset")
{
    listener_fixture server(streamingHandler(false));
    raw_peer caller = raw_peer::connectTo(server.address);
    caller.send(http10_request);
    caller.readAll();
    CHECK(caller.wasReset());
}

TEST_CASE("a response to a caller of HTTP/1.0 is reset when its listener is closed before the end")
{
    std::shared_ptr<http::reply> kept;
    auto server = std::make_unique<listener_fixture>(
        [&](const auto &, const std::shared_ptr<http::reply> &replyWriter) {
            replyWriter->begin(200, {});
            replyWriter->write("part");
            kept = replyWriter;
        });
    raw_peer caller = raw_peer::connectTo(server->address);
    caller.send(http10_request);
    caller.readUntil("part");
    server->thread.run([&] { kept.reset(); });
    caller.readAll();
    CHECK(caller.wasReset());
    server.reset();
}
