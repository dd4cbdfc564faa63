#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace ivypier {

/// Source of randomness. All random decisions use this interface, so that a run can be reproduced from its
/// seed.
class random_source
{
public:
    virtual ~random_source() = default;

    /// Returns 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    /// Returns a uniformly distributed number in [0, 1).
    double uniform();

    /// Returns a uniformly distributed index in [0, count). `count` must be at least 1.
    std::size_t index(std::size_t count);
};

/// Pseudo-random generator with a given seed.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed);

    /// Returns a generator seeded by the operating system.
    static seeded_random fromSystem();

    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

} // namespace ivypier
