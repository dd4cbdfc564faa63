#include "base/text_compression.h"
#include "cloud/row_patches.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::cloud;

namespace {

std::string valueOf(int version)
{
    return std::string(row_patches::min_value_bytes, 'x') + std::to_string(version);
}

std::uint64_t digestOf(int version)
{
    return row_patches::digestOf(valueOf(version));
}

} // namespace

TEST_CASE("patches lead from any recent value to a later one")
{
    row_patches patches;
    for (int version = 1; version < 5; ++version)
        patches.recordChange("k", valueOf(version), valueOf(version + 1));
    const auto found = patches.between("k", digestOf(2), digestOf(5));
    REQUIRE(found);
    std::string value = valueOf(2);
    for (const row_patch &each : *found)
        value = decompressText(each.content, value, 1 << 20).value();
    CHECK(value == valueOf(5));
    CHECK(found->size() == 3);
    CHECK(patches.between("k", digestOf(5), digestOf(5))->empty());
    CHECK_FALSE(patches.between("k", digestOf(5), digestOf(2)));
    CHECK_FALSE(patches.between("k", digestOf(7), digestOf(5)));
    CHECK_FALSE(patches.between("other", digestOf(2), digestOf(5)));
}

TEST_CASE("patches are bounded in number, and start anew after a gap")
{
    row_patches patches;
    constexpr int versions = static_cast<int>(row_patches::max_patches_per_row) + 10;
    for (int version = 0; version < versions; ++version)
        patches.recordChange("k", valueOf(version), valueOf(version + 1));
    CHECK_FALSE(patches.between("k", digestOf(0), digestOf(versions)));
    CHECK(patches.between("k", digestOf(10), digestOf(versions)));
    patches.recordChange("k", valueOf(1000), valueOf(1001));
    CHECK(patches.between("k", digestOf(1000), digestOf(1001)));
    CHECK_FALSE(patches.between("k", digestOf(10), digestOf(versions)));
}

TEST_CASE("small values have no patches, and a recorded patch is not made again")
{
    row_patches patches;
    patches.recordChange("k", "a", "b");
    CHECK_FALSE(patches.between("k", row_patches::digestOf("a"), row_patches::digestOf("b")));
    patches.recordPatch("k", {digestOf(1), digestOf(2), "received"});
    patches.recordChange("k", valueOf(1), valueOf(2));
    CHECK(patches.between("k", digestOf(1), digestOf(2))->front().content == "received");
}
