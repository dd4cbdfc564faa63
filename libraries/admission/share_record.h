#pragma once

#include "base/outcome.h"
#include "membership/member.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ivypier::admission {

/// Fractions of an account's limit; `full_limit` units are the whole limit.
using share_units = std::int64_t;

inline constexpr share_units full_limit = 1'000'000;

/// One node's record about one account's limit, published as the fact `share/<account>/<incarnation>`.
struct share_record
{
    share_units demanded = 0; ///< the node's demand
    share_units held = 0; ///< used by running requests, so not transferable
    std::map<membership::incarnation, share_units> transferred; ///< total ever transferred to each receiver

    auto operator<=>(const share_record &) const = default;

    /// Returns the record as `<demanded> <held> <receiver>:<units> ...`, with receivers in hexadecimal.
    std::string encode() const;

    /// Parses the form that encode() returns; `invalid_argument` for any other text.
    static outcome<share_record> decode(std::string_view text);
};

/// Returns the fact key of one node's record for an account. All keys of an account begin with
/// `share/<account>/`.
std::string shareKey(const std::string &account, membership::incarnation node);

} // namespace ivypier::admission
