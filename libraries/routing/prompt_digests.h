#pragma once

#include "base/hash.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::routing {

/// The prefixes of a prompt that end at a message boundary, shortest first.
struct prompt_prefixes
{
    std::vector<std::string> digests; ///< as in the engines' cache events
    std::vector<std::uint64_t> tokens; ///< estimated length of each prefix in tokens

    auto operator<=>(const prompt_prefixes &) const = default;
};

/// Builds the prefixes of a prompt, message by message. Each digest is the hash of the prompt's text so far,
/// with every message written as "role: content\n". Engines hash the same form for their cache events.
class prompt_prefixes_builder
{
public:
    prompt_prefixes_builder &add(std::string_view role, std::string_view content);
    prompt_prefixes build() const;

private:
    streaming_hash m_hash;
    std::uint64_t m_bytes = 0;
    prompt_prefixes m_prefixes;
};

} // namespace ivypier::routing
