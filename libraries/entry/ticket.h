#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "membership/member.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier::entry {

/// Identifies a request and the nodes responsible for it. The text form is
/// `<home>-<witness>-<epoch>-<tag>.<caller's part>`, where the tag authenticates the three numbers.
struct ticket
{
    membership::incarnation home = 0; ///< the only node that may start the request
    membership::incarnation witness = 0; ///< grants the intent to dispatch; 0 when there was no other node
    std::uint64_t epoch = 0; ///< counter of the home node; orders its tickets without a clock
    std::string callerPart; ///< 1 to 64 letters, digits, `-` or `_`; unique per request of an account

    auto operator<=>(const ticket &) const = default;

    /// Parses and authenticates a ticket. Fails with `invalid_argument` when the text is malformed and with
    /// `unauthenticated` when the tag was not made with this fleet's key.
    static outcome<ticket> parse(std::string_view text, const secret_key &fleetKey);

    /// Returns the text before the caller's part, without the full stop.
    std::string prefix(const secret_key &fleetKey) const;

    /// Returns the complete text form.
    std::string text(const secret_key &fleetKey) const;

    /// Returns the text form without the tag, for logs and as a key between nodes.
    std::string key() const;
};

} // namespace ivypier::entry
