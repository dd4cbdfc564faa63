#include "base/random_source.h"
#include "http/message_parser.h"
#include "mutated_text.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::http;

namespace {

const std::vector<std::string> request_samples{
    "POST /a/b?c=d HTTP/1.1\r\nHost: one\r\nX: 1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n3\r\nabc\r\n2;e=f\r\nde\r\n0\r\n\r\n",
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    "PUT /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\n0\r\nTrailer: "
    "t\r\n\r\n"};

const std::vector<std::string> response_samples{
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\n\r\n1\r\nx\r\n0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"};

const std::vector<std::string> message_tokens{"\r\n",
                                              "\r\n\r\n",
                                              "\n",
                                              "\r",
                                              ";",
                                              ":",
                                              "0\r\n\r\n",
                                              "ffffffffffffffff\r\n",
                                              "-1\r\n",
                                              "Content-Length: 99999999999999999999\r\n",
                                              "Content-Length: 3\r\n",
                                              "Transfer-Encoding: chunked\r\n",
                                              std::string(1, '\0'),
                                              std::string(300, 'a')};

/// What a parser made of a text.
struct parse_result
{
    bool hasFailed = false;
    bool isDone = false;
    std::string body;
    std::size_t consumed = 0;

    /// Returns whether both parsers accepted the same message, or neither one. A head that is malformed and
    /// incomplete may fail sooner in one piece.
    bool acceptsSameAs(const parse_result &other) const
    {
        if (!isDone || !other.isDone)
            return isDone == other.isDone;
        return body == other.body && consumed == other.consumed;
    }
};

template <typename Parser>
parse_result parse(const std::vector<std::string> &pieces)
{
    Parser parser(typename Parser::limits{1024, 4096});
    parse_result result;
    std::string unconsumed;
    for (const std::string &piece : pieces) {
        unconsumed += piece;
        const outcome<std::size_t> consumed = parser.feed(unconsumed);
        if (!consumed) {
            result.hasFailed = true;
            return result;
        }
        REQUIRE(consumed.value() <= unconsumed.size());
        result.consumed += consumed.value();
        unconsumed.erase(0, consumed.value());
        result.body += parser.takeBody();
        if (parser.isDone())
            break;
    }
    result.isDone = parser.isDone();
    return result;
}

template <typename Parser>
void fuzz(const std::vector<std::string> &samples, std::uint64_t seed)
{
    seeded_random randomness(seed);
    const std::uint64_t rounds = fuzzRounds(3'000'000);
    std::uint64_t failed = 0;
    std::uint64_t done = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        const std::string text = mutatedText(randomness, samples, message_tokens);
        const parse_result whole = parse<Parser>({text});
        const parse_result pieces = parse<Parser>(randomPieces(randomness, text));
        failed += whole.hasFailed ? 1 : 0;
        done += whole.isDone ? 1 : 0;
        if (whole.acceptsSameAs(pieces))
            continue;
        CAPTURE(round, text, whole.body, pieces.body, whole.consumed, pieces.consumed, whole.hasFailed,
                pieces.hasFailed, whole.isDone, pieces.isDone);
        REQUIRE(whole.acceptsSameAs(pieces));
    }
    // The mutations lead to messages of both kinds.
    CHECK(failed > rounds / 20);
    CHECK(done > rounds / 20);
}

} // namespace

TEST_CASE("mutated requests are accepted whole as they are in pieces", "[slow]")
{
    fuzz<request_parser>(request_samples, 20261204);
}

TEST_CASE("mutated responses are accepted whole as they are in pieces", "[slow]")
{
    fuzz<response_parser>(response_samples, 20261204);
}
