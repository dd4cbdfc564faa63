#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier {

/// A numeric IP address and a port. Names are never looked up.
struct endpoint
{
    std::string host; ///< dotted IPv4 address
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;

    /// Reads `host:port`.
    static outcome<endpoint> parse(std::string_view text);

    /// `host:port`
    std::string text() const;
};

} // namespace ivypier
