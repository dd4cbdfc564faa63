#pragma once

#include "base/outcome.h"
#include "placement/vm_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ivypier::placement {

/// A VM that was ordered and is not in the platform's list yet.
struct pending_start
{
    std::string token; ///< the cloud starts one VM for it, however often it is ordered
    vm_type type;

    auto operator<=>(const pending_start &) const = default;
};

/// The starts of one service, in the row `placement/<service>`: written before the cloud is asked, so that
/// the next holder orders again under the same tokens what this one may have ordered.
struct start_record
{
    std::uint64_t nextToken = 1;
    std::vector<pending_start> pending;

    auto operator<=>(const start_record &) const = default;

    std::string encode() const;
    static outcome<start_record> decode(const std::string &text);
};

} // namespace ivypier::placement
