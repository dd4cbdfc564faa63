#pragma once

#include <compare>
#include <cstdint>

namespace ivypier::fleet {

/// Counts of the stored records of where streams began, on one node.
struct origin_counters
{
    std::uint64_t sent = 0; ///< datagrams to recorders
    std::uint64_t received = 0; ///< records that this node was given to write
    std::uint64_t written = 0; ///< records
    std::uint64_t writes = 0; ///< rows
    std::uint64_t bytesWritten = 0;
    std::uint64_t failures = 0; ///< accesses to the platform's table
    std::uint64_t dropped = 0; ///< records that were not written because of a bound
    std::uint64_t lookups = 0;
    std::uint64_t found = 0; ///< lookups with a record
    std::uint64_t reads = 0; ///< of all rows of a shard
    std::uint64_t bytesRead = 0;

    auto operator<=>(const origin_counters &) const = default;
};

} // namespace ivypier::fleet
