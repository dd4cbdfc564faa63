#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier {

/// A numeric IPv4 address and a port. Host names are never resolved.
struct endpoint
{
    std::string host; ///< dotted IPv4 address
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;

    /// Parses `host:port`. Returns `invalid_argument` for anything but a dotted IPv4 address and a port from
    /// 1 to 65535.
    static outcome<endpoint> parse(std::string_view text);

    /// Returns `host:port`.
    std::string text() const;
};

} // namespace ivypier
