#pragma once

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace ivypier {

/// The seeds that a test of a promise runs over: 1 to `count`, or the one that IVYPIER_SEED names.
inline std::vector<std::uint64_t> promiseSeeds(std::uint64_t count = 1000)
{
    if (const char *fixedSeed = std::getenv("IVYPIER_SEED"))
        return {std::strtoull(fixedSeed, nullptr, 10)};
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
        seeds.push_back(seed);
    return seeds;
}

} // namespace ivypier
