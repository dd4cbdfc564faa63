#include "base/log_event.h"

#include <catch2/catch.hpp>

using namespace ivypier;

TEST_CASE("an event is one line of key=value pairs for any values")
{
    const std::string text = log_event(log_level::info, "request.accepted")
                                 .with("account", "kumasi")
                                 .with("detail", "two words\nand a \"quote\"")
                                 .with("count", std::int64_t{3})
                                 .text();
    CHECK(text == R"(event=request.accepted account=kumasi detail="two words\x0aand a \"quote\"" count=3)");
}

TEST_CASE("empty values and values with an equals sign are quoted")
{
    CHECK(log_event(log_level::info, "e").with("a", "").with("b", "x=y").text() == R"(event=e a="" b="x=y")");
}
