#pragma once

#include "base/outcome.h"
#include "placement/vm_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ivypier::placement {

/// A VM that was ordered, or is about to be, and is not in the platform's VM list yet.
struct pending_start
{
    std::string token; ///< idempotency key: the cloud starts one VM for it, however often it is ordered
    vm_type type;

    auto operator<=>(const pending_start &) const = default;
};

/// The pending VM starts of one service, stored in the table row `placement/<service>`. The row is written
/// before the VMs are ordered, so that the next lease holder repeats the orders with the same tokens and no
/// VM is started twice.
struct start_record
{
    std::uint64_t nextToken = 1;
    std::vector<pending_start> pending;

    auto operator<=>(const start_record &) const = default;

    std::string encode() const;
    /// Returns the decoded record, or an error if `text` is not a JSON object.
    static outcome<start_record> decode(const std::string &text);
};

} // namespace ivypier::placement
