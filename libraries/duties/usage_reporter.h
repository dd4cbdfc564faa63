#pragma once

#include "base/scheduler.h"
#include "cloud/fenced_operations.h"
#include "cloud/table_service.h"
#include "fleet/fleet_aggregator.h"
#include "placement/duty.h"

#include <functional>
#include <optional>

namespace ivypier::duties {

struct usage_options
{
    std::int64_t windowMilliseconds = 5000;
    /// Time after the end of a window for the counts of all nodes to arrive.
    duration settleTime = std::chrono::milliseconds(2000);
    /// How many windows back unreported usage is still reported.
    std::int64_t retainedWindows = 24;

    auto operator<=>(const usage_options &) const = default;
};

/// Reports each window's usage while this node holds the duty.
///
/// The row `usage` of the table holds the last committed window with its counts. It is replaced window by
/// window with a compare-and-set on its version. Only the content of the row is reported, so that two holders
/// never report different counts for a window. A new holder first repeats the report of the row.
///
/// If the table was restored from an older copy, the row may be older than the last report. The holder that
/// wrote a newer one writes it again. A new holder can't know what was reported since the copy was made, and
/// leaves out all windows that may have been.
class usage_reporter
{
public:
    usage_reporter(scheduler &tasks, cloud::table_service &table, cloud::fenced_operations &platform,
                   const placement::duty &lease, const fleet::fleet_aggregator &aggregator,
                   usage_options options);

    /// Starts the next read, write or report if one is due. Must be called a few times per second with the
    /// wall clock in milliseconds.
    void poll(std::int64_t wallMilliseconds);

    /// Key of the usage row in the table.
    static constexpr const char *row_key = "usage";

    /// Sets the number of nodes, which is stored in the row for nodes that start.
    void setNodes(std::size_t count);

    /// Sets the time after the end of a window for the counts of all nodes to arrive.
    void setSettleTime(duration settleTime);

    /// Returns the newest window whose report from this node the platform has accepted.
    std::optional<std::int64_t> reportedWindow() const
    {
        return m_reportedWindow;
    }

    static std::string encode(const cloud::usage_report &report, std::size_t nodes, std::uint64_t era = 0);
    static std::optional<cloud::usage_report> decode(const std::string &text);

    /// Returns the number of nodes stored in a row, or nothing if it is missing or the row is invalid.
    static std::optional<std::size_t> decodeNodes(const std::string &text);

private:
    /// Returns the era of the table in which a row was written; 0 for rows of older versions of this program.
    static std::uint64_t parseEra(const cloud::table_row &row);
    void readRow();
    void applyRow(const std::optional<cloud::table_row> &row);
    void applyOutdatedRow(const std::optional<cloud::table_row> &row);
    void commitWindow(std::int64_t window);
    void writeRow(const cloud::usage_report &report);
    std::int64_t lastSettledWindow() const;
    void sendReport();
    /// Marks the current call as finished. Returns true if this node lost the lease since the row was read,
    /// or holds it under a new tenure.
    bool finishCallAndCheckLeaseLost();

    scheduler &m_tasks;
    cloud::table_service &m_table;
    cloud::fenced_operations &m_platform;
    const placement::duty &m_lease;
    const fleet::fleet_aggregator &m_aggregator;
    usage_options m_options;
    std::uint64_t m_tenure = 0; ///< fencing token under which the row was read
    std::uint64_t m_rowVersion = 0;
    bool m_rowLoaded = false;
    std::optional<cloud::usage_report> m_committed; ///< content of the row
    std::uint64_t m_committedTenure = 0; ///< tenure in which m_committed was read or written
    bool m_mustRewrite = false; ///< a restore brought back an older row than m_committed
    std::int64_t m_skippedThrough = 0; ///< windows up to this one may have been reported by a former holder
    std::optional<std::int64_t> m_reportedWindow;
    std::int64_t m_wallMilliseconds = 0;
    std::size_t m_nodes = 1;
    bool m_callInFlight = false;
    time_point m_backoffUntil{};
};

} // namespace ivypier::duties
