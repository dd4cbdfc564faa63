#pragma once

#include "base/outcome.h"
#include "delivery/rollout_status.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier::delivery {

/// The state of a rollout in the row `rollout/<service>` of the product's table, from which the next holder
/// of the duties goes on.
struct rollout_record
{
    std::uint64_t orderVersion = 0; ///< row version of the order
    std::string targetVersion;
    rollout_state state = rollout_state::in_progress;
    double share = 0.0;
    std::int64_t elapsed = 0; ///< milliseconds from the order to the write of this record
    std::int64_t writtenAt = 0; ///< wall-clock time in milliseconds since 1970
    std::uint64_t tenure = 0; ///< fencing token of the holder that wrote it
    std::uint64_t sequence = 0; ///< number of its newest statement
    /// Version of the status row that states this rollout as in progress; 0 while it isn't written. A newer
    /// row that states its end was therefore written for this order.
    std::uint64_t statusVersion = 0;
    std::string reason;

    auto operator<=>(const rollout_record &) const = default;

    std::string encode() const;
    static outcome<rollout_record> decode(std::string_view text);
};

} // namespace ivypier::delivery
