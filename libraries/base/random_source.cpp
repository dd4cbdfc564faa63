#include "base/random_source.h"

#include <cassert>

namespace ivypier {

double random_source::uniform()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53: a double's significand has 53 bits
    return static_cast<double>(next() >> 11) * scale;
}

std::size_t random_source::index(std::size_t count)
{
    assert(count > 0);
    return static_cast<std::size_t>(uniform() * static_cast<double>(count));
}

seeded_random::seeded_random(std::uint64_t seed)
    : m_engine(seed)
{
}

seeded_random seeded_random::fromSystem()
{
    std::random_device device;
    return seeded_random((std::uint64_t{device()} << 32) | device());
}

std::uint64_t seeded_random::next()
{
    return m_engine();
}

} // namespace ivypier
