#include "http/message_parser.h"
#include "relay/event_scanner.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <ctime>
#include <functional>

using namespace ivypier;
using namespace ivypier::relay;

namespace {

constexpr std::size_t input_bytes = std::size_t{1024} * 1024;

double processorSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/// Takes a piece and returns whether more are wanted.
using piece_handler = std::function<bool(const std::string &)>;

/// Returns the processor time in milliseconds until the input ends or the parser refuses it, and how many
/// bytes it took.
std::pair<double, std::size_t> feed(const std::string &start, const std::string &repeated,
                                    std::size_t pieceBytes, const piece_handler &handle)
{
    std::string input = start;
    while (input.size() < input_bytes)
        input += repeated;
    const double before = processorSeconds();
    std::size_t at = 0;
    while (at < input.size() && handle(input.substr(at, pieceBytes)))
        at += pieceBytes;
    return {(processorSeconds() - before) * 1e3, std::min(at, input.size())};
}

piece_handler scanEvents()
{
    return [scanner = std::make_shared<event_scanner>()](const std::string &piece) {
        scanner->feed(piece);
        return scanner->partialEventBytes() <= event_scanner::max_partial_event_bytes;
    };
}

piece_handler parseResponse()
{
    struct state
    {
        http::response_parser parser{{.headerBytes = 32 * 1024, .bodyBytes = 1 << 30}};
        std::string unconsumed;
    };
    return [state = std::make_shared<state>()](const std::string &piece) {
        state->unconsumed += piece;
        const outcome<std::size_t> consumed = state->parser.feed(state->unconsumed);
        if (!consumed)
            return false;
        state->unconsumed.erase(0, consumed.value());
        state->parser.takeBody();
        return !state->parser.isDone();
    };
}

} // namespace

TEST_CASE("table of processor time of parsers by size of the pieces", "[.table]")
{
    struct input
    {
        const char *name;
        std::string start;
        std::string repeated;
        std::function<piece_handler()> parser;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const input inputs[]{
        {"event without end, short lines", "", "data: x\n", scanEvents},
        {"event without end, one line", "data: ", "x", scanEvents},
        {"whole events", "", "id: 1\ndata: x\n\n", scanEvents},
        {"head without end", "HTTP/1.1 200 OK\r\nX: ", "x", parseResponse},
        {"chunk extension without end", chunked + "1;e=", "x", parseResponse},
        {"trailers without end", chunked + "1\r\nx\r\n0\r\n", "X: y\r\n", parseResponse},
        {"chunks of one byte", chunked, "1\r\nx\r\n", parseResponse},
        {"body without frame", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x", parseResponse},
    };
    std::printf("%-34s %10s %10s %10s %10s   bytes taken (pieces of 1)\n", "input of 1 MiB, pieces of", "1",
                "100", "1400", "16384");
    for (const input &each : inputs) {
        std::printf("%-34s", each.name);
        std::size_t taken = 0;
        for (const std::size_t pieceBytes : {1U, 100U, 1400U, 16384U}) {
            const auto [milliseconds, bytes] = feed(each.start, each.repeated, pieceBytes, each.parser());
            taken = pieceBytes == 1 ? bytes : taken;
            std::printf(" %7.1f ms", milliseconds);
        }
        std::printf("   %zu\n", taken);
    }
}
