#include "upstream/event_stream_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier::upstream;

namespace {

/// Feeds a text in chunks of random size.
std::vector<server_sent_event> feedInChunks(const std::string &text)
{
    event_stream_parser parser;
    std::vector<server_sent_event> events;
    std::size_t at = 0;
    while (at < text.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, text.size() - at + 1);
        for (const server_sent_event &each : parser.feed(std::string_view(text).substr(at, length)))
            events.push_back(each);
        at += length;
    }
    return events;
}

std::string randomLines()
{
    const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(
        std::vector<std::string>{"data: x", "data:", "data", "id: 7", "event: outcome", ": comment",
                                 "retry: 1", "\n", "\r\n", "\n\n", "\r", ":", "data: \xff", "unknown: y"}));
    std::string text;
    for (const std::string &each : parts)
        text += each;
    return text;
}

} // namespace

TEST_CASE("parsed events do not depend on the chunk boundaries", "[upstream]")
{
    CHECK(rc::check([] {
        const std::string text = randomLines();
        event_stream_parser whole;
        RC_ASSERT(feedInChunks(text) == whole.feed(text));
    }));
}

TEST_CASE("arbitrary bytes are accepted", "[upstream]")
{
    CHECK(rc::check([](const std::string &text) {
        event_stream_parser whole;
        RC_ASSERT(feedInChunks(text) == whole.feed(text));
        RC_ASSERT(!whole.isBroken());
    }));
}

TEST_CASE("an event over the limit permanently marks the stream as broken", "[upstream]")
{
    event_stream_parser oneLine;
    CHECK(oneLine.feed(std::string(event_stream_parser::max_event_bytes + 1, 'x')).empty());
    CHECK(oneLine.isBroken());
    CHECK(oneLine.feed("\n\ndata: x\n\n").empty());

    event_stream_parser manyLines;
    for (int line = 0; line < 1100; ++line)
        manyLines.feed("data: " + std::string(1024, 'x') + "\n");
    CHECK(manyLines.isBroken());
}
