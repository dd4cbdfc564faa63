#pragma once

#include "base/hash.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::routing {

/// The prefixes of a prompt that end with a whole message, shortest first.
struct prompt_prefixes
{
    std::vector<std::string> digests; ///< as engines name them in their cache events
    std::vector<std::uint64_t> tokens; ///< estimated tokens up to the end of each

    auto operator<=>(const prompt_prefixes &) const = default;
};

/// Builds the prefixes of a prompt message by message. A digest is the hash of the prompt's text so far,
/// where each message counts as "role: content\n", the form that engines hash for their cache events.
class prompt_prefixes_builder
{
public:
    prompt_prefixes_builder &add(std::string_view role, std::string_view content);
    prompt_prefixes build() const;

private:
    running_hash m_hash;
    std::uint64_t m_bytes = 0;
    prompt_prefixes m_prefixes;
};

} // namespace ivypier::routing
