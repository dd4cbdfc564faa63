#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "membership/member.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier::entry {

/// Names the processes that may speak for a request. Its text is
/// `<home>-<witness>-<epoch>-<tag>.<caller's part>`, where the tag authenticates the three numbers.
struct ticket
{
    membership::incarnation home = 0; ///< the only node that may start the request
    membership::incarnation witness = 0; ///< grants the intent to dispatch; 0: there was no other node
    std::uint64_t epoch = 0; ///< the home's own count
    std::string callerPart; ///< 1 to 64 letters, digits, `-` and `_`, unique for each request of an account

    auto operator<=>(const ticket &) const = default;

    /// Reads and checks a ticket; `unauthenticated` when its tag is not this fleet's.
    static outcome<ticket> parse(std::string_view text, const secret_key &fleetKey);

    /// The text before the caller's part, without the full stop.
    std::string prefix(const secret_key &fleetKey) const;

    /// The whole text.
    std::string text(const secret_key &fleetKey) const;

    /// The text without its tag, for logs and as a key between nodes.
    std::string key() const;
};

} // namespace ivypier::entry
