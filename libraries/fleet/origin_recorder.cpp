#include "fleet/origin_recorder.h"

#include "fleet/origin_shard.h"

#include <algorithm>

namespace ivypier::fleet {

origin_recorder::origin_recorder(scheduler &tasks, cloud::table_service &table, std::size_t firstRow,
                                 std::function<std::int64_t()> wallMilliseconds)
    : m_tasks(tasks)
    , m_table(table)
    , m_firstRow(firstRow)
    , m_wallMilliseconds(std::move(wallMilliseconds))
    , m_reader(tasks, table, m_wallMilliseconds, m_counters)
{
}

void origin_recorder::setNodes(std::size_t nodes)
{
    m_shardCount = std::min(origin_shards::countFor(nodes), origin_shards::max_shards);
    m_mostShards = std::max(m_mostShards, m_shardCount);
}

void origin_recorder::poll()
{
    m_reader.poll();
    for (const auto &[shard, writer] : m_writers)
        writer->poll();
}

std::size_t origin_recorder::shardOf(const relay::stream_key &stream) const
{
    return origin_shards::of(stream, m_shardCount);
}

void origin_recorder::add(std::size_t shard, const origin_entry &entry)
{
    if (shard >= origin_shards::max_shards)
        return;
    ++m_counters.received;
    writerOf(shard).add({entry.stream, entry.origin, m_wallMilliseconds() + milliseconds(entry.lifetime),
                         entry.isConflicting});
}

origin_shard_writer &origin_recorder::writerOf(std::size_t shard)
{
    std::unique_ptr<origin_shard_writer> &writer = m_writers[shard];
    if (!writer)
        writer = std::make_unique<origin_shard_writer>(m_tasks, m_table, shard, m_firstRow,
                                                       m_wallMilliseconds, m_counters);
    return *writer;
}

void origin_recorder::storeDeviation(const relay::stream_key &stream, duration lifetime,
                                     std::function<void()> onStored)
{
    // A deviation states no origin: only a record tells where the stream began.
    writerOf(origin_shards::ofDeviation(stream))
        .add({stream, {}, m_wallMilliseconds() + milliseconds(lifetime), false}, std::move(onStored));
}

void origin_recorder::find(const relay::stream_key &stream, completion done)
{
    m_reader.find(stream, origin_shards::possible(stream, m_mostShards), std::move(done));
}

void origin_recorder::findDeviation(const relay::stream_key &stream,
                                    relay::stream_origins::deviation_completion done)
{
    m_reader.find(stream, {origin_shards::ofDeviation(stream)},
                  [this, done = std::move(done)](const relay::origin_lookup &found) {
                      done({found.origin || found.isConflicting, found.isComplete, m_table.era()});
                  });
}

std::size_t origin_recorder::pendingCount() const
{
    std::size_t result = 0;
    for (const auto &[shard, writer] : m_writers)
        result += writer->pendingCount();
    return result;
}

} // namespace ivypier::fleet
