#pragma once

#include "base/scheduler.h"
#include "cloud/table_service.h"
#include "placement/duty.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::placement {

/// The holder stops acting a safety margin before its lease expires: the term divided by this.
inline constexpr int lease_margin_divisor = 5;

/// Number of renewals in one term.
inline constexpr int lease_renewals_per_term = 3;

/// Acquires and renews the lease of one duty, stored in the table row `lease/<name>`. Not thread-safe: call
/// it only from tasks of its scheduler.
///
/// The row names the holder; its version is the fencing token. The holder counts the term from before it
/// sent the write, an observer from after it read the row. So an observer takes over only after the holder
/// counts the lease as lost, however long the calls take. If the response to a write is lost, the row is read
/// to find out whether the write was applied.
///
/// The table may be restored from an older copy. A row that was written before the restore may then name a
/// former holder or nobody, so nobody takes the lease over before a full term has passed since the restore
/// was noticed. The present holder writes its row again at once and keeps its tenure.
class lease_manager final : public duty
{
public:
    /// `holder` must be unique to this incarnation of the process. If two processes of the same name can
    /// never run at the same time, it may be that name: a restarted process then takes over its own lease at
    /// once. `initialWriteCount` must then differ between runs, so that the values they write differ.
    lease_manager(scheduler &tasks, cloud::table_service &table, std::string name, std::string holder,
                  duration term, std::uint64_t initialWriteCount = 0);

    /// Starts to compete for the lease and renews it while it is held.
    void start();

    /// Releases the lease for good, so that another process can acquire it at once. Calls `done` once the
    /// table row names no holder, or after the last failed attempt: the lease then expires after its term.
    void release(std::function<void()> done = {});

    /// Sets whether this process may acquire the lease (default: true). A lease already held is kept.
    void setEligible(bool eligible);

    std::optional<lease> held() const override;

    /// Returns the time until held() returns nothing; zero when it already does.
    duration remaining() const;

    const std::string &name() const;

private:
    /// A conditional write that is in flight, or whose response was lost.
    struct pending_write
    {
        std::uint64_t expectedVersion = 0;
        std::string value;
        time_point startedAt{};
    };

    void poll();
    void readRow();
    void onRead(const outcome<std::optional<cloud::table_row>> &read, time_point startedAt);
    void observe(const cloud::table_row &row, time_point startedAt);
    void write(std::uint64_t expectedVersion, std::uint64_t tenure);
    void onWritten(const outcome<cloud::table_row> &written, std::uint64_t tenure);
    void observeForeignRow(const cloud::table_row &row, time_point startedAt);
    void recordEra();
    /// Returns true if the row was written after the latest restore of the table.
    bool isCurrent(const cloud::table_row &row) const;
    bool mayAcquireMissingRow() const;
    void setLease(std::uint64_t version, std::uint64_t tenure, time_point startedAt);
    void tryRelease(int attempts);
    void finishRelease();
    bool isExpired() const;

    scheduler &m_tasks;
    cloud::table_service &m_table;
    std::string m_name;
    std::string m_key;
    std::string m_holder;
    duration m_term;
    std::optional<lease> m_lease;
    std::optional<pending_write> m_pendingWrite;
    std::uint64_t m_writeCount; ///< written into the row, so that all values written by this holder differ
    std::uint64_t m_observedVersion = 0; ///< of the row as last read, when another process holds the lease
    time_point m_observedAt{}; ///< when the response that first had this version arrived
    std::uint64_t m_era = 0; ///< of the table, as last seen
    time_point m_eraSeenAt{};
    std::uint64_t m_callNumber = 0; ///< responses to earlier calls are dropped
    bool m_callInFlight = false;
    time_point m_callStartedAt{};
    bool m_eligible = true;
    bool m_releasing = false;
    std::function<void()> m_onReleased;
};

} // namespace ivypier::placement
