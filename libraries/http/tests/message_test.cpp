#include "http/message.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier::http;

namespace {

std::string percentEncode(const std::string &text)
{
    constexpr const char *digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        result += {'%', digits[byte / 16], digits[byte % 16]};
    }
    return result;
}

} // namespace

TEST_CASE("percent-encoded parameters are decoded", "[http]")
{
    CHECK(rc::check([](const std::string &name, const std::string &value) {
        RC_PRE(!name.empty());
        request incoming;
        incoming.query = "a%3Db=1&" + percentEncode(name) + '=' + percentEncode(value) + "&"
            + percentEncode(name) + "=later";
        RC_PRE(name != "a=b");
        RC_ASSERT(incoming.parameter(name) == value);
    }));
}

TEST_CASE("arbitrary queries are parsed without errors", "[http]")
{
    CHECK(rc::check([](const std::string &text) {
        request incoming;
        incoming.query = text;
        for (const auto &[name, value] : parseForm(text)) {
            RC_ASSERT(name.size() + value.size() < text.size());
            RC_ASSERT(!incoming.parameter(name).empty() || parseForm(text).size() > 0);
        }
    }));
}

TEST_CASE("invalid percent-escapes are kept unchanged", "[http]")
{
    request incoming;
    incoming.query = "a=%&b=%4&c=%zz&d=%+1&e=%41&f=x+y&g&=h";
    CHECK(incoming.parameter("a") == "%");
    CHECK(incoming.parameter("b") == "%4");
    CHECK(incoming.parameter("c") == "%zz");
    CHECK(incoming.parameter("d") == "% 1");
    CHECK(incoming.parameter("e") == "A");
    CHECK(incoming.parameter("f") == "x y");
    CHECK(incoming.parameter("g").empty());
}

TEST_CASE("header names are case-insensitive", "[http]")
{
    request incoming;
    incoming.headers["Ivypier-Request"] = "x";
    CHECK(incoming.header("ivypier-REQUEST") == "x");
    CHECK(incoming.header("Ivypier").empty());
}
