#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace ivypier {

/// Source of randomness. Decisions draw only through this interface, so that a seed replays them.
class random_source
{
public:
    virtual ~random_source() = default;

    /// 64 uniform bits.
    virtual std::uint64_t next() = 0;

    /// A number in [0, 1).
    double uniform();

    /// An index in [0, count); `count` is at least 1.
    std::size_t index(std::size_t count);
};

/// Randomness from a seed.
class seeded_random final : public random_source
{
public:
    explicit seeded_random(std::uint64_t seed);

    /// A source seeded by the operating system.
    static seeded_random fromSystem();

    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

} // namespace ivypier
