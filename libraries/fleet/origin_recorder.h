#pragma once

#include "fleet/origin_message.h"
#include "fleet/origin_row_reader.h"
#include "fleet/origin_shard_writer.h"

#include <map>
#include <memory>

namespace ivypier::fleet {

/// Keeps records of where streams began in rows of the platform's table, so that they outlive all nodes:
/// writes those of the shards that this node records, and finds those of all shards. Docs:
/// docs/design/stream-versions.md.
class origin_recorder
{
public:
    using completion = relay::stream_origins::completion;

    /// `firstRow` is the number of the row that this node fills first, usually random.
    origin_recorder(scheduler &tasks, cloud::table_service &table, std::size_t firstRow,
                    std::function<std::int64_t()> wallMilliseconds);

    /// Sets the number of nodes of the fleet. Records are divided by the newest number, and looked up by the
    /// largest.
    void setNodes(std::size_t nodes);

    /// Frees what is no longer needed, and writes again what a restore of the table may have removed.
    void poll();

    /// Returns the number of shards at present.
    std::size_t shardCount() const
    {
        return m_shardCount;
    }

    /// Returns the shard to which a record goes at present.
    std::size_t shardOf(const relay::stream_key &stream) const;

    /// Writes a record to the rows of a shard.
    void add(std::size_t shard, const origin_entry &entry);

    /// Stores the deviation of a stream, and calls `onStored` once it is written. Until then the caller
    /// repeats it.
    void storeDeviation(const relay::stream_key &stream, duration lifetime, std::function<void()> onStored);

    /// Finds whether a stream has a deviation. Calls `done` as find() does.
    void findDeviation(const relay::stream_key &stream, relay::stream_origins::deviation_completion done);

    /// Finds the stored record of a stream. Calls `done` once, possibly before it returns, at the latest
    /// after max_stored_lookup_time.
    void find(const relay::stream_key &stream, completion done);

    /// Returns the number of records that wait to be written.
    std::size_t pendingCount() const;

    origin_counters &counters()
    {
        return m_counters;
    }
    const origin_counters &counters() const
    {
        return m_counters;
    }

private:
    origin_shard_writer &writerOf(std::size_t shard);

    scheduler &m_tasks;
    cloud::table_service &m_table;
    std::size_t m_firstRow;
    std::function<std::int64_t()> m_wallMilliseconds;
    origin_counters m_counters;
    origin_row_reader m_reader;
    std::map<std::size_t, std::unique_ptr<origin_shard_writer>> m_writers;
    std::size_t m_shardCount = 1;
    std::size_t m_mostShards = 1;
};

} // namespace ivypier::fleet
