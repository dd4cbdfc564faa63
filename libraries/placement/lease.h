#pragma once

#include "base/scheduler.h"
#include "cloud/table_service.h"
#include "placement/duty.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::placement {

/// Part of a term before its end in which the holder acts no more: a term divided by this.
inline constexpr int lease_margin_divisor = 5;

/// Renewals in one term.
inline constexpr int lease_renewals_per_term = 3;

/// Holds one duty through one row of the table, `lease/<name>`. Only from tasks of its scheduler.
///
/// The row names the holder; its version is the fencing number. A holder counts its term from before it sent
/// the write, an observer counts the same term from after it read the row, so that an observer takes over
/// only after the holder counts the lease as lost, whatever the calls' delays. A write whose answer is lost
/// is settled by reading the row back.
class lease_manager final : public duty
{
public:
    /// `holder` names this incarnation of this process and no other. Where a process can't run while an
    /// earlier one of the same name does, it may be that name: a process that is started again then takes its
    /// own lease over at once. `initialWriteCount` must differ between such runs: it makes their writes tell
    /// apart.
    lease_manager(scheduler &tasks, cloud::table_service &table, std::string name, std::string holder,
                  duration term, std::uint64_t initialWriteCount = 0);

    /// Starts to acquire the lease, and to renew it once it is held.
    void start();

    /// Gives the lease up for good, so that another can have it at once. `done` is called once the table has
    /// it, or when that can't be known: the lease then lapses after its term.
    void release(std::function<void()> done = {});

    /// Whether this process may setLease the duty over (default: true). A lease that is held stays held.
    void setEligible(bool eligible);

    std::optional<lease> held() const override;

    /// The time left until held() gives nothing.
    duration remaining() const;

    const std::string &name() const;

private:
    /// A conditional write that is under way or whose effect is not known.
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
    std::uint64_t m_writeCount; ///< makes the value of each write of this holder another one
    std::uint64_t m_observedVersion = 0; ///< of another holder's row as last read
    time_point m_observedAt{}; ///< when the answer that first showed it was there
    std::uint64_t m_callNumber = 0; ///< answers to earlier operations are dropped
    bool m_callInFlight = false;
    time_point m_callStartedAt{};
    bool m_eligible = true;
    bool m_releasing = false;
    std::function<void()> m_onReleased;
};

} // namespace ivypier::placement
