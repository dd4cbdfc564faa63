#pragma once

#include "base/scheduler.h"
#include "cloud/table_service.h"
#include "fleet/origin_counters.h"
#include "fleet/origin_snapshot.h"
#include "relay/lookup_patience.h"
#include "relay/stream_origins.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace ivypier::fleet {

/// Reads the rows of stored records of where streams began, when a caller came back whose stream no node
/// knows. All lookups that wait share one read.
class origin_row_reader
{
public:
    using completion = relay::stream_origins::completion;

    /// Shortest time between the starts of two reads of a shard, so that callers that name unknown streams
    /// can't load the platform.
    static constexpr duration read_interval = std::chrono::milliseconds(100);
    /// Time for which the records of a read are kept. They stay true, so streams that are found in them need
    /// no other read.
    static constexpr duration snapshot_lifetime = std::chrono::seconds(10);
    /// A record counts for this long after its end, because the wall clocks of nodes differ.
    static constexpr duration end_margin = std::chrono::seconds(5);

    origin_row_reader(scheduler &tasks, cloud::table_service &table,
                      std::function<std::int64_t()> wallMilliseconds, origin_counters &counters);

    /// Finds the record of a stream in any of these shards. Calls `done` once, possibly before it returns, at
    /// the latest after max_stored_lookup_time.
    void find(const relay::stream_key &stream, const std::vector<std::size_t> &shards, completion done);

    /// Frees the records that were kept for long enough.
    void poll();

private:
    struct lookup_request
    {
        relay::stream_key stream;
        completion done; ///< null once the request is completed
        std::size_t awaitedShards = 0;
        relay::origin_lookup result{.isComplete = true, .isStored = true};
    };
    using request_list = std::vector<std::shared_ptr<lookup_request>>;

    struct shard_state
    {
        bool isReading = false;
        bool isScheduled = false; ///< the next read waits for read_interval
        time_point readStartedAt{};
        bool hasRead = false;
        request_list next; ///< requests for the next read
        std::shared_ptr<const origin_snapshot> snapshot;
        time_point snapshotAt{};
    };

    std::int64_t earliestEnd() const;
    void scheduleRead(std::size_t shard);
    void startRead(std::size_t shard);
    void applyRead(std::size_t shard, const request_list &requests,
                   const outcome<std::vector<cloud::table_row>> &rows);
    void complete(lookup_request &request);

    scheduler &m_tasks;
    cloud::table_service &m_table;
    std::function<std::int64_t()> m_wallMilliseconds;
    origin_counters &m_counters;
    relay::lookup_patience m_patience{relay::max_stored_lookup_time};
    std::map<std::size_t, shard_state> m_shards;
};

} // namespace ivypier::fleet
