#include "relay_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t budget = std::size_t{8} * 1024 * 1024;
const std::string piece(16 * 1024, 'x');

} // namespace

TEST_CASE("a resumable stream goes on elsewhere when an event does not end, and its buffer is bounded")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(1));
    std::size_t sent = 0;
    while (fixture.startedExchanges() == 1 && sent < 2 * budget) {
        fixture.last().body(piece);
        sent += piece.size();
    }
    CHECK(sent <= event_scanner::max_partial_event_bytes + piece.size());
    REQUIRE(fixture.startedExchanges() == 2);
    fixture.last().head(200, {{"Meaning", "served"}});
    fixture.last().body(event(2));
    fixture.last().end();
    CHECK(answer->status == 200);
    CHECK(answer->ended);
    CHECK(answer->body == event(1) + event(2));
}

TEST_CASE("a stream that may not run again ends honestly when an event does not end")
{
    relay_fixture fixture(call_kind::stream, 3);
    const auto answer = fixture.startCall();
    fixture.last().head(200, {{"Meaning", "served"}});
    for (std::size_t sent = 0; fixture.relay.running() > 0 && sent < 2 * budget; sent += piece.size())
        fixture.last().body(piece);
    CHECK(fixture.relay.running() == 0);
    CHECK(fixture.startedExchanges() == 1);
    CHECK_FALSE(answer->ended);
    CHECK(answer->closed);
}

TEST_CASE("many endless answers take no more memory than the budget, and ordinary answers still arrive")
{
    relay_fixture fixture(call_kind::at_most_once, 1);
    constexpr std::size_t endlessCount = 100;
    std::vector<std::shared_ptr<received_response>> endless;
    std::vector<std::shared_ptr<fake_transport::fake_exchange>> exchanges;
    for (std::size_t index = 0; index < endlessCount; ++index) {
        endless.push_back(fixture.startCall());
        exchanges.push_back(fixture.transport.startedExchanges.back());
        exchanges.back()->head(200, {{"Meaning", "served"}});
    }
    std::size_t most = 0;
    for (int round = 0; round < 300; ++round) {
        const auto ordinary = fixture.startCall();
        const auto exchange = fixture.transport.startedExchanges.back();
        exchange->head(200, {{"Meaning", "served"}});
        exchange->body("short");
        for (const auto &each : exchanges) {
            each->body(piece);
            most = std::max(most, fixture.buffers.totalBytes());
        }
        exchange->end();
        CHECK(ordinary->status == 200);
        CHECK(ordinary->body == "short");
    }
    CHECK(most <= budget);
    CHECK(fixture.relay.running() == 0);
    for (const auto &each : endless)
        CHECK(each->status == 502); // may have run
    CHECK(fixture.buffers.totalBytes() == 0);
}

TEST_CASE("what is read ahead for callers that do not read stays within the limit of all buffers")
{
    constexpr std::size_t budget = std::size_t{8} * 1024 * 1024;
    constexpr std::size_t callerCount = 100;
    constexpr std::size_t pieceBytes = std::size_t{16} * 1024;
    relay_fixture fixture(call_kind::stream);
    std::vector<std::shared_ptr<received_response>> callers;
    for (std::size_t number = 0; number < callerCount; ++number) {
        callers.push_back(fixture.startCall());
        fixture.last().head(200, {});
    }
    const std::string piece = "data: " + std::string(pieceBytes - 8, 'x') + "\n\n";
    for (std::size_t round = 0; round < 64; ++round) {
        for (std::size_t number = 0; number < callerCount; ++number) {
            auto &exchange = *fixture.transport.startedExchanges[number];
            if (exchange.isPaused)
                continue;
            callers[number]->unsentByteCount += piece.size();
            exchange.body(piece);
        }
    }
    std::size_t unsent = 0;
    for (const auto &each : callers) {
        CHECK(each->unsentByteCount > 0);
        unsent += each->unsentByteCount;
    }
    // Reading stops after the piece that exceeds the limit.
    CHECK(unsent <= budget + callerCount * pieceBytes);
}

TEST_CASE("the largest buffer is dropped when the limit is exceeded")
{
    answer_buffers buffers(100);
    std::vector<std::string> dropped;
    answer_buffers::buffer small(buffers, [&] { dropped.emplace_back("small"); });
    answer_buffers::buffer large(buffers, [&] { dropped.emplace_back("large"); });
    small.resize(30);
    large.resize(70);
    CHECK(dropped.empty());
    small.resize(31);
    CHECK(dropped == std::vector<std::string>{"large"});
    CHECK(buffers.totalBytes() == 31);
    large.resize(50); // no effect once dropped
    CHECK(buffers.totalBytes() == 31);
    {
        answer_buffers::buffer own(buffers, [&] { dropped.emplace_back("own"); });
        own.resize(80);
        CHECK(dropped.back() == "own");
        CHECK(buffers.totalBytes() == 31);
        CHECK(buffers.dropped() == 2);
    }
    small.resize(0);
    CHECK(buffers.totalBytes() == 0);
}

TEST_CASE("a stream of events is split the same in pieces of any size")
{
    rc::check("the events and their numbers don't depend on the pieces", [] {
        std::string text;
        const int events = *rc::gen::inRange(1, 8);
        for (int number = 1; number <= events; ++number) {
            text += *rc::gen::element<std::string>("", ": comment\n", "data: a\r\ndata: b\n", "\r\n");
            text += "id: " + std::to_string(number) + *rc::gen::element<std::string>("\n\n", "\r\n\r\n");
        }
        event_scanner whole;
        const std::string expected = whole.feed(text);
        event_scanner pieces;
        std::string received;
        for (std::size_t at = 0; at < text.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            received += pieces.feed(text.substr(at, size));
            at += size;
        }
        RC_ASSERT(received == expected);
        RC_ASSERT(pieces.lastEvent() == whole.lastEvent());
        RC_ASSERT(pieces.partialEventBytes() == whole.partialEventBytes());
    });
}
