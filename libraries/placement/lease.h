#pragma once

#include "base/scheduler.h"
#include "platform/table_service.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::placement {

/// A duty held until `expiresAt` by this process's own monotonic clock.
struct lease
{
    std::uint64_t fencing = 0; ///< only grows; the row's version in the table
    time_point expiresAt{};

    auto operator<=>(const lease &) const = default;
};

/// Holds one duty through one row of the table. Only from tasks of its scheduler.
class lease_keeper
{
public:
    lease_keeper(scheduler &tasks, platform::table_service &table, std::string duty, std::string holder,
                 duration term);

    /// Starts to acquire the lease, and to renew it once it is held.
    void start();

    /// Gives the lease up, so that another can have it at once.
    void release();

    /// The lease while orders may be sent under it: a margin before its end it counts as lost.
    std::optional<lease> held() const;

private:
    void turn();
    void readRow();
    void write(std::uint64_t expected, std::uint64_t counter, time_point startedAt);

    scheduler &m_tasks;
    platform::table_service &m_table;
    std::string m_duty;
    std::string m_holder;
    duration m_term;
    std::optional<lease> m_lease;
    std::string m_seenValue; ///< another holder's row as last read
    time_point m_seenAt{}; ///< when it was first read so
    bool m_releasing = false;
};

} // namespace ivypier::placement
