#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace ivypier::relay {

/// Identifies a stream of events by a hash of the call that began it and of the account of its caller, so
/// that an account can't name another one's stream.
struct stream_key
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const stream_key &) const = default;

    /// `callId` is the id of the call that returned the first event. `account` is empty for calls without
    /// one.
    static stream_key of(std::string_view account, std::string_view callId);
};

} // namespace ivypier::relay
