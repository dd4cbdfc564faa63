#include "base/hash.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace ivypier {

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

struct streaming_hash::state
{
    std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> hash{XXH3_createState(),
                                                                          &XXH3_freeState};
};

streaming_hash::streaming_hash()
    : m_state(std::make_unique<state>())
{
    XXH3_64bits_reset(m_state->hash.get());
}

streaming_hash::~streaming_hash() = default;

void streaming_hash::append(std::string_view chunk)
{
    XXH3_64bits_update(m_state->hash.get(), chunk.data(), chunk.size());
}

std::uint64_t streaming_hash::digest() const
{
    return XXH3_64bits_digest(m_state->hash.get());
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::uint64_t fromHex(std::string_view text)
{
    constexpr std::size_t digits = 16;
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    const bool isComplete
        = text.size() == digits && failure == std::errc{} && end == text.data() + text.size();
    return isComplete ? value : 0;
}

} // namespace ivypier
