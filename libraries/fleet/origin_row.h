#pragma once

#include "base/outcome.h"
#include "relay/stream_key.h"
#include "relay/stream_origin.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::fleet {

/// A record of where a stream began, as it is kept in the platform's table.
struct stored_origin
{
    relay::stream_key stream;
    relay::stream_origin origin;
    std::int64_t endsAt = 0; ///< wall-clock time in milliseconds until which the stream may be resumed
    bool isConflicting = false; ///< there were records that disagree

    auto operator<=>(const stored_origin &) const = default;
};

/// The content of a row of the platform's table with records of where streams began. What a row states stays
/// true, also in a restored copy, because the origin of a stream never changes.
struct origin_row
{
    /// Largest encoded row. The store copies a row with each write.
    static constexpr std::size_t max_bytes = std::size_t{48} * 1024;

    std::uint64_t era = 0; ///< of the platform's table when the row was written
    std::vector<stored_origin> records;

    auto operator<=>(const origin_row &) const = default;

    /// Returns the time at which the last record ends; 0 without records.
    std::int64_t endsAt() const;

    /// Returns the text of the row, a msgpack array. Origins that several records share are stated once.
    std::string encode() const;

    /// Fails with `invalid_argument` if the text is not that of a row.
    static outcome<origin_row> decode(std::string_view text);

    /// Returns an upper bound of the bytes of a row without records.
    static std::size_t emptySize();
    /// Returns an upper bound of the bytes that a record adds to a row.
    static std::size_t recordSize();
    /// Returns an upper bound of the bytes that an origin adds to a row that does not state it yet.
    static std::size_t originSize(const relay::stream_origin &origin);
};

} // namespace ivypier::fleet
