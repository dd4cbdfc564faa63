#pragma once

#include "base/scheduler.h"
#include "cloud/table_service.h"
#include "fleet/origin_counters.h"
#include "fleet/origin_row.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace ivypier::fleet {

/// Writes the records of one shard to its rows in the platform's table by group commit, on the node that
/// records the shard. Several writers of a shard share its rows by conditional writes.
class origin_shard_writer
{
public:
    /// Shortest time between the starts of two writes, which bounds them to 20 a second.
    static constexpr duration write_interval = std::chrono::milliseconds(50);
    /// Time until a failed access to the platform's table is repeated.
    static constexpr duration retry_interval = std::chrono::milliseconds(200);
    /// Time without a response after which the rows, or the row that was written, are read: the response may
    /// be lost, and the platform's client waits much longer for it.
    static constexpr duration slow_response_time = std::chrono::milliseconds(400);
    /// Records that wait to be written. Above this number those that end first are dropped.
    static constexpr std::size_t max_pending = 16'384;
    /// A row is reused this long after its last record ended, because the wall clocks of nodes differ.
    static constexpr duration reuse_margin = std::chrono::seconds(5);

    /// `firstRow` is the number of the row that is filled first if it is free. Writers that start at
    /// different rows seldom conflict.
    origin_shard_writer(scheduler &tasks, cloud::table_service &table, std::size_t shard,
                        std::size_t firstRow, std::function<std::int64_t()> wallMilliseconds,
                        origin_counters &counters);

    /// Adds a record, which is written within write_interval unless the platform is slow. Calls `onStored`,
    /// if there is one, once the record is written. A record of a stream that is still to be written is added
    /// once; the last `onStored` is called.
    void add(const stored_origin &record, std::function<void()> onStored = nullptr);

    /// Writes the records again that a restore of the platform's table may have removed.
    void poll();

    std::size_t pendingCount() const
    {
        return m_pending.size() + m_inFlight.size();
    }

private:
    struct known_row
    {
        std::uint64_t version = 0;
        std::int64_t endsAt = 0; ///< time at which its last record ends
        std::size_t bytes = 0;
        std::string ownText; ///< set if this writer wrote it last
    };

    struct awaited_record
    {
        std::int64_t endsAt = 0;
        std::function<void()> onStored;
    };

    bool isFree(std::size_t number) const;
    bool isRestored() const;
    std::size_t rowTarget() const;
    /// Returns the row to write to, or nothing if all rows hold records that must not give way.
    std::optional<std::size_t> chooseRow();
    void boundPending();
    void notifyStored();
    std::optional<std::size_t> rowToReplace() const;
    std::int64_t now() const;
    void schedule(duration delay);
    void flush();
    void listRows();
    void requestRows(std::uint64_t access);
    void applyList(const std::vector<cloud::table_row> &rows);
    void recoverOwnRecords();
    void dropEnded();
    void returnInFlight();
    std::string takeBatch(std::size_t number);
    void write();
    void checkWrite(std::uint64_t access);
    void applyWrite(const outcome<cloud::table_row> &written);
    void readBack();
    void recordSuccess(std::uint64_t version);
    void recordFailure(std::string_view reason);

    scheduler &m_tasks;
    cloud::table_service &m_table;
    std::size_t m_shard;
    std::size_t m_firstRow;
    std::function<std::int64_t()> m_wallMilliseconds;
    origin_counters &m_counters;
    std::multimap<std::int64_t, stored_origin> m_pending; ///< by the time at which they end
    std::vector<stored_origin> m_inFlight; ///< records of the write in progress
    std::map<relay::stream_key, awaited_record> m_awaited; ///< records whose writing is to be told
    std::map<std::size_t, known_row> m_rows;
    std::optional<std::size_t> m_current; ///< the row that is being filled
    std::size_t m_writtenRow = 0; ///< row of the write in progress
    std::string m_writtenText;
    std::uint64_t m_era = 0; ///< of the platform's table when the rows were listed
    time_point m_lastWriteAt{};
    time_point m_writeStartedAt{};
    bool m_hasWritten = false;
    std::uint64_t m_access = 0; ///< number of the access in progress; responses to earlier ones are ignored
    bool m_hasEra = false;
    bool m_isListed = false; ///< the rows are known
    bool m_isBusy = false; ///< an access to the platform's table is in progress
    bool m_isScheduled = false;
};

} // namespace ivypier::fleet
