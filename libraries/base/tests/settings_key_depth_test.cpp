#include "base/key_depth.h"
#include "base/settings_reader.h"

#include <catch2/catch.hpp>

using namespace ivypier;

TEST_CASE("a key with very many parts is a fault and doesn't exhaust the stack", "[settings]")
{
    std::string key = "a";
    for (int part = 0; part < 400'000; ++part)
        key += ".a";
    for (const std::string &text : {key + " = 1", '[' + key + ']', "x = {" + key + " = 1}"}) {
        const settings_reader root = settings_reader::parse(text);
        REQUIRE_FALSE(root.isReadable());
        REQUIRE(root.faults().size() == 1);
        CHECK(root.faults().front().line == 1);
    }
}

TEST_CASE("the deepest accepted nesting can be parsed and freed", "[settings]")
{
    std::string dotted = "a";
    for (std::size_t part = 0; part < max_key_depth; ++part)
        dotted += ".a";
    std::string text;
    for (int line = 0; line < 120; ++line)
        text += (line == 0 ? "" : "{") + dotted + " = [\n";
    REQUIRE_FALSE(findTooDeepKey(text));
    CHECK_FALSE(settings_reader::parse(text).isReadable()); // truncated, so not TOML
    std::string closingBrackets;
    for (int line = 0; line < 119; ++line)
        closingBrackets += "]}";
    CHECK(settings_reader::parse(text + closingBrackets + "]\n").isReadable());
}

TEST_CASE("dots in strings and comments don't count as key depth", "[settings]")
{
    const std::string dots(100, '.');
    CHECK_FALSE(findTooDeepKey("a = \"" + dots + "\""));
    CHECK_FALSE(findTooDeepKey("a = '" + dots + "'"));
    CHECK_FALSE(findTooDeepKey("a = \"\\\"" + dots + "\""));
    CHECK_FALSE(findTooDeepKey("# " + dots));
    CHECK(findTooDeepKey("b = 1\na = '\"', " + dots) == 2u);
    CHECK(findTooDeepKey("x\"\"\", " + dots) == 1u);
}

TEST_CASE("a fault is described on one line for any document text", "[settings]")
{
    settings_reader root = settings_reader::parse("kind = \"a\\nb\\u001b[2J\"");
    root.choice("kind", {"model", "plain"});
    REQUIRE(root.faults().size() == 1);
    const std::string line = describe(root.faults().front(), "file.toml");
    CHECK(line == "file.toml:1: kind is \"a?b?[2J\"; expected one of model, plain");
}
