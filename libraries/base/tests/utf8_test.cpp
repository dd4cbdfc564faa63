#include "base/utf8.h"

#include <catch2/catch.hpp>

using namespace ivypier;

TEST_CASE("the first malformed UTF-8 sequence is found", "[utf8]")
{
    CHECK_FALSE(findInvalidUtf8("plain é ₸ \xf0\x9f\x93\xa6"));
    CHECK(findInvalidUtf8("ab\xff") == 2u);
    CHECK(findInvalidUtf8("\xc0\xaf") == 0u); // overlong
    CHECK(findInvalidUtf8("\xe0\x80\xaf") == 0u); // overlong
    CHECK(findInvalidUtf8("\xed\xa0\x80") == 0u); // surrogate
    CHECK(findInvalidUtf8("\xf4\x90\x80\x80") == 0u); // beyond the last code point
    CHECK(findInvalidUtf8("a\xe2\x82") == 1u); // truncated
}
