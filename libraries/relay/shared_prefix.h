#pragma once

#include "relay/call.h"

#include <cstdint>

namespace ivypier::relay {

/// Returns a hash of the prompt parts that other prompts may share: all but the last, which is specific to
/// this call or its session. A prompt with only one part is hashed whole. Returns 0 without parts.
std::uint64_t sharedPrefix(const prompt_size &size);

/// Returns the tokens of the shared parts: those of all but the last part, or of the only one.
std::uint64_t sharedTokens(const prompt_size &size);

/// Returns the tokens that are read wherever the call runs: those of the last part, or of the whole prompt if
/// it has no parts.
std::uint64_t ownTokens(const prompt_size &size);

} // namespace ivypier::relay
