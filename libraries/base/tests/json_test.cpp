#include "base/json.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier;

TEST_CASE("only a single complete JSON text is accepted")
{
    CHECK(parseJson(R"({"a":[1,2.5,"x",null,true]})"));
    CHECK(parseJson("7"));
    for (const char *text : {"", "{", "{}x", "{'a':1}", "// c\n{}", "{\"a\":1,\"a\":2}", "[1,]", "nul"})
        CHECK_FALSE(parseJson(text));
}

TEST_CASE("deep nesting returns an error and doesn't crash")
{
    CHECK_FALSE(parseJson(std::string(100000, '[')));
}

TEST_CASE("any input returns a value or an error")
{
    CHECK(rc::check([](const std::string &text) {
        const auto parsed = parseJson(text);
        if (parsed)
            RC_ASSERT(parseJson(writeJson(parsed.value())));
    }));
}

TEST_CASE("members of another type read as missing")
{
    const Json::Value json = parseJson(R"({"s":"x","n":-1,"b":true})").value();
    CHECK(stringMember(json, "n").empty());
    CHECK(unsignedMember(json, "n", 9) == 9);
    CHECK(integerMember(json, "s", 4) == 4);
    CHECK_FALSE(booleanMember(json, "s"));
    CHECK(stringMember(Json::Value("text"), "s").empty());
}
