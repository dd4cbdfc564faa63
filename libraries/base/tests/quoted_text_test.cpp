#include "base/quoted_text.h"

#include <catch2/catch.hpp>

using namespace ivypier;

TEST_CASE("quotes, backslashes and control characters are escaped, other characters are unchanged")
{
    CHECK(quotedText("plain \xc3\xa9", control_escape::unicode) == "\"plain \xc3\xa9\"");
    CHECK(quotedText("a\"b\\c", control_escape::hexadecimal) == R"("a\"b\\c")");
    CHECK(quotedText("\n\x7f", control_escape::hexadecimal) == R"("\x0a\x7f")");
    CHECK(quotedText("\n\x7f", control_escape::unicode) == R"("\u000a\u007f")");
    CHECK(quotedText("", control_escape::unicode) == "\"\"");
}
