#include "http/message_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier;

namespace {

/// Feeds `text` in pieces of the given size. Returns the number of bytes consumed, or the error.
template <typename Parser>
outcome<std::size_t> feedAll(Parser &parser, std::string text, std::size_t piece)
{
    std::size_t total = 0;
    std::string unconsumed;
    std::size_t next = 0;
    while (!parser.isDone()) {
        const std::string more = text.substr(next, piece);
        if (more.empty())
            return total;
        next += more.size();
        unconsumed += more;
        const outcome<std::size_t> consumed = parser.feed(unconsumed);
        if (!consumed)
            return consumed.error();
        unconsumed.erase(0, consumed.value());
        total += consumed.value();
    }
    return total;
}

error_code parseErrorOf(const std::string &text)
{
    http::request_parser parser({});
    const auto consumed = feedAll(parser, text, text.size());
    return consumed ? error_code::internal : consumed.error().code;
}

} // namespace

TEST_CASE("a request parses the same in pieces of any size")
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: one\r\nX: 1\r\nX: 2\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e=f\r\nde\r\n0\r\n\r\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        http::request_parser parser({});
        const auto consumed = feedAll(parser, text + "NEXT", piece);
        REQUIRE(consumed);
        CHECK(consumed.value() == text.size());
        CHECK(parser.isDone());
        CHECK(parser.takeBody() == "abcde");
        CHECK(parser.head().target == "/a/b?c=d");
        CHECK(parser.head().path() == "/a/b");
        CHECK(parser.head().query() == "c=d");
        CHECK(parser.head().fields.count("x") == 2);
    }
}

TEST_CASE("ambiguous framing is rejected")
{
    CHECK(parseErrorOf(
              "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc")
          == error_code::invalid_argument);
    CHECK(parseErrorOf(
              "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc")
          == error_code::invalid_argument);
    CHECK(parseErrorOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc")
          == error_code::invalid_argument);
    CHECK(parseErrorOf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")
          == error_code::invalid_argument);
    CHECK(parseErrorOf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n")
          == error_code::invalid_argument);
    CHECK(parseErrorOf("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == error_code::invalid_argument);
    CHECK(parseErrorOf("GET / HTTP/1.1\r\nHost : a\r\n\r\n") == error_code::invalid_argument);
    CHECK(parseErrorOf("GET / HTTP/2.0\r\nHost: a\r\n\r\n") == error_code::invalid_argument);
}

TEST_CASE("headers and bodies over their limits are rejected as too large")
{
    http::request_parser small({.headerBytes = 64, .bodyBytes = 4});
    const auto header = small.feed("GET / HTTP/1.1\r\nX: " + std::string(100, 'x') + "\r\n\r\n");
    REQUIRE_FALSE(header);
    CHECK(header.error().code == error_code::too_large);
    http::request_parser body({.headerBytes = 1024, .bodyBytes = 4});
    const auto longBody = body.feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde");
    REQUIRE_FALSE(longBody);
    CHECK(longBody.error().code == error_code::too_large);
}

TEST_CASE("a response without a length is complete at the end of the connection, one cut short of its length "
          "is not")
{
    http::response_parser open({});
    REQUIRE(open.feed("HTTP/1.1 200 OK\r\n\r\npart"));
    CHECK(open.endsAtEof());
    CHECK_FALSE(open.isDone());
    CHECK(open.end());
    http::response_parser sized({});
    REQUIRE(sized.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"));
    CHECK_FALSE(sized.end());
}

TEST_CASE("arbitrary input never crashes the parser")
{
    rc::check([](const std::string &bytes) {
        http::request_parser parser({});
        static_cast<void>(feedAll(parser, bytes, 3));
        http::response_parser answers({});
        static_cast<void>(feedAll(answers, "HTTP/1.1 200 OK\r\n" + bytes, 5));
    });
}
