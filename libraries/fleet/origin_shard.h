#pragma once

#include "relay/stream_key.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// The shards into which the stored records of where streams began are divided: one for each 100 nodes.
struct origin_shards
{
    static constexpr std::size_t nodes_per_shard = 100;
    /// Rows of a shard in the platform's table.
    static constexpr std::size_t max_rows = 64;

    /// Shards of records above this number are not valid; the design size has 16.
    static constexpr std::size_t max_shards = 64;
    /// Shards of deviations. Their number is fixed, because a lookup has to find every deviation, also one
    /// that was stored when the fleet had another size.
    static constexpr std::size_t deviation_shards = 4;

    /// Returns the shard of the deviation of a stream.
    static std::size_t ofDeviation(const relay::stream_key &stream);
    static bool isOfDeviations(std::size_t shard);

    /// Returns the number of shards of a fleet.
    static std::size_t countFor(std::size_t nodes);

    /// Returns the shard of a stream. When the number of shards grows, a stream keeps its shard or moves to a
    /// new one (jump consistent hash).
    static std::size_t of(const relay::stream_key &stream, std::size_t shardCount);

    /// Returns the shards that a stream has had at any number of shards up to this one. A lookup after a
    /// restart needs them, because the number of nodes that recorded is not known exactly.
    static std::vector<std::size_t> possible(const relay::stream_key &stream, std::size_t maxShardCount);

    /// Returns the key by which members are ranked as the recorder of a shard.
    static std::uint64_t rankingKey(std::size_t shard);

    /// Returns the prefix of the keys of a shard's rows.
    static std::string rowPrefix(std::size_t shard);
    static std::string rowKey(std::size_t shard, std::size_t row);
};

} // namespace ivypier::fleet
