#include "base/base64.h"
#include "base/random_source.h"
#include "base/text_compression.h"

#include <catch2/catch.hpp>

using namespace ivypier;

namespace {

constexpr std::size_t max_bytes = std::size_t{1} << 24;

std::string randomText(std::size_t lines)
{
    seeded_random randomness(3);
    std::string result;
    for (std::size_t line = 0; line < lines; ++line)
        result += std::to_string(randomness.next()) + '\n';
    return result;
}

} // namespace

TEST_CASE("a text is compressed to what its base lacks")
{
    const std::string base = randomText(100'000);
    const std::string text = "head\n" + base + "tail\n";
    const auto compressed = compressText(text, base);
    REQUIRE(compressed);
    CHECK(compressed.value().size() < 1000);
    CHECK(decompressText(compressed.value(), base, max_bytes).value() == text);
    CHECK(decompressText(compressText(text, {}).value(), {}, max_bytes).value() == text);
}

TEST_CASE("damaged data, another base and texts over the limit are refused")
{
    const std::string base = randomText(1000);
    std::string compressed = compressText(base + "tail\n", base).value();
    CHECK_FALSE(decompressText(compressed, randomText(1000) + "x", max_bytes));
    CHECK(decompressText(compressed, base, 100).error().code == error_code::too_large);
    compressed.back() = static_cast<char>(compressed.back() ^ 1);
    CHECK_FALSE(decompressText(compressed, base, max_bytes));
    CHECK_FALSE(decompressText("", base, max_bytes));
    CHECK_FALSE(decompressText("no frame of this format", base, max_bytes));
}

TEST_CASE("base64 encodes any bytes, and refuses other text")
{
    const std::string bytes("\x00\xff\x10 text", 8);
    CHECK(decodeBase64(encodeBase64(bytes)).value() == bytes);
    CHECK(encodeBase64("").empty());
    CHECK_FALSE(decodeBase64("no*base"));
}
