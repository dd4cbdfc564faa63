#include "fleet/origin_shard.h"

#include "base/hash.h"

#include <algorithm>

namespace ivypier::fleet {

std::size_t origin_shards::ofDeviation(const relay::stream_key &stream)
{
    return max_shards + stream.low % deviation_shards;
}

bool origin_shards::isOfDeviations(std::size_t shard)
{
    return shard >= max_shards && shard < max_shards + deviation_shards;
}

std::size_t origin_shards::countFor(std::size_t nodes)
{
    return std::max<std::size_t>((nodes + nodes_per_shard - 1) / nodes_per_shard, 1);
}

std::vector<std::size_t> origin_shards::possible(const relay::stream_key &stream, std::size_t maxShardCount)
{
    // Lamping and Veach: A Fast, Minimal Memory, Consistent Hash Algorithm. The values of the loop are the
    // shards at growing numbers of shards.
    std::uint64_t state = stream.high;
    std::vector<std::size_t> result;
    std::size_t next = 0;
    while (next < maxShardCount) {
        result.push_back(next);
        state = state * 2862933555777941757ULL + 1;
        next = static_cast<std::size_t>(
            static_cast<double>(next + 1)
            * (static_cast<double>(1ULL << 31U) / static_cast<double>((state >> 33U) + 1)));
    }
    return result;
}

std::size_t origin_shards::of(const relay::stream_key &stream, std::size_t shardCount)
{
    return possible(stream, std::max<std::size_t>(shardCount, 1)).back();
}

std::uint64_t origin_shards::rankingKey(std::size_t shard)
{
    return hash64("origin-shard-" + std::to_string(shard));
}

std::string origin_shards::rowPrefix(std::size_t shard)
{
    return "origins/" + std::to_string(shard) + "/";
}

std::string origin_shards::rowKey(std::size_t shard, std::size_t row)
{
    return rowPrefix(shard) + std::to_string(row);
}

} // namespace ivypier::fleet
