#pragma once

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace ivypier {

/// Returns the seeds that a promise test runs with: 1 to `count`, or only the value of the environment
/// variable IVYPIER_SEED if it is set.
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
