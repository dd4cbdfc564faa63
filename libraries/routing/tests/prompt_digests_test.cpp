#include "base/hash.h"
#include "routing/prompt_digests.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::routing;

TEST_CASE("prompt digests hash every message prefix as the engines do")
{
    const prompt_prefixes prefixes = prompt_prefixes_builder()
                                         .add("system", "You read tariffs.")
                                         .add("user", "A parcel to Tamale?")
                                         .add("assistant", "Five cedis.")
                                         .build();
    std::string text = "system: You read tariffs.\n";
    REQUIRE(prefixes.digests.size() == 3);
    CHECK(prefixes.digests[0] == toHex(hash64(text)));
    CHECK(prefixes.tokens[0] == text.size() / 4);
    text += "user: A parcel to Tamale?\n";
    CHECK(prefixes.digests[1] == toHex(hash64(text)));
    text += "assistant: Five cedis.\n";
    CHECK(prefixes.digests[2] == toHex(hash64(text)));
    CHECK(prefixes.tokens[2] == text.size() / 4);
}

TEST_CASE("prompt digests are correct for texts longer than the hash's internal buffer")
{
    const std::string content(100'000, 'x');
    const prompt_prefixes prefixes
        = prompt_prefixes_builder().add("user", content).add("user", content).build();
    const std::string one = "user: " + content + '\n';
    CHECK(prefixes.digests[0] == toHex(hash64(one)));
    CHECK(prefixes.digests[1] == toHex(hash64(one + one)));
}
