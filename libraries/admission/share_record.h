#pragma once

#include "base/outcome.h"
#include "membership/member.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ivypier::admission {

/// Parts of an account's limit; `full_limit` of them are the limit.
using share_units = std::int64_t;

inline constexpr share_units full_limit = 1'000'000;

/// What one node tells the others about one account's limit, in the fact `share/<account>/<incarnation>`.
struct share_record
{
    share_units demanded = 0; ///< its demand
    share_units held = 0; ///< what its running requests take up, so that it can't give it away
    std::map<membership::incarnation, share_units> transferred; ///< all it ever gave, by receiver

    auto operator<=>(const share_record &) const = default;

    /// `<demanded> <held> <receiver>:<units> ...`, receivers in hexadecimal.
    std::string encode() const;

    static outcome<share_record> decode(std::string_view text);
};

/// The key of an account's record of one node; `share/<account>/` is the prefix of all of them.
std::string shareKey(const std::string &account, membership::incarnation node);

} // namespace ivypier::admission
