#pragma once

#include "base/clock.h"
#include "relay/stream_key.h"
#include "relay/stream_origin.h"

#include <compare>
#include <functional>
#include <optional>

namespace ivypier::relay {

/// The response to a question where a stream began.
struct origin_lookup
{
    std::optional<stream_origin> origin; ///< not set if no record was found, or if records disagree
    bool isConflicting = false; ///< there are records that disagree
    bool isComplete = false; ///< every node that may keep a record replied
    duration age{}; ///< since the record was made
    bool isStored = false; ///< the record was read from the platform's table, which doesn't tell its age

    auto operator<=>(const origin_lookup &) const = default;
};

/// Returns what two responses about one stream tell together. Records that disagree are of no use.
origin_lookup merged(const origin_lookup &left, const origin_lookup &right);

/// The response to the question whether a deviation of a stream is stored.
struct deviation_lookup
{
    bool isFound = false;
    bool isComplete = false; ///< everything was read that may hold the deviation
    std::uint64_t era = 0; ///< of the platform's table that was read

    auto operator<=>(const deviation_lookup &) const = default;
};

/// Records where streams began, so that any node can continue them.
class stream_origins
{
public:
    using completion = std::function<void(const origin_lookup &)>;
    using deviation_completion = std::function<void(const deviation_lookup &)>;

    virtual ~stream_origins() = default;

    /// Records where a stream began. The record is kept for `lifetime`, in which the stream may be resumed.
    virtual void record(const stream_key &stream, const stream_origin &origin, duration lifetime) = 0;

    /// Finds where a stream began. Calls `done` once, possibly before it returns, at the latest after
    /// max_origin_lookup_time.
    virtual void find(const stream_key &stream, completion done) = 0;

    /// Stores a deviation: the stream may begin at a version that its key does not select. Calls `onStored`
    /// once the deviation outlives all nodes, which may never happen.
    virtual void storeDeviation(const stream_key & /*stream*/, duration /*lifetime*/,
                                std::function<void()> /*onStored*/)
    {
    }

    /// Returns whether deviations wait for the platform's table, so that a further one would wait, too.
    virtual bool areDeviationsLate() const
    {
        return false;
    }

    /// Finds whether a deviation of a stream is stored. Calls `done` once, possibly before it returns, at the
    /// latest after max_stored_lookup_time.
    virtual void findDeviation(const stream_key & /*stream*/, deviation_completion done)
    {
        done({.isComplete = true});
    }

    /// Finds where a stream began in the records that outlive all nodes. Calls `done` once, possibly before
    /// it returns, at the latest after max_stored_lookup_time. Without such records nothing is found.
    virtual void findStored(const stream_key &, completion done)
    {
        done({.isComplete = true});
    }
};

/// Longest time that a lookup takes when a node does not reply.
inline constexpr duration max_origin_lookup_time = std::chrono::milliseconds(200);

/// How long it may take to store a deviation before it counts as late.
inline constexpr duration late_deviation_time = std::chrono::milliseconds(400);

/// Longest time that a lookup of stored records takes when the platform does not respond. It takes up to
/// lookup_patience::max_limit when the platform responds slowly.
inline constexpr duration max_stored_lookup_time = std::chrono::milliseconds(500);

} // namespace ivypier::relay
