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
    duration settleTime
        = std::chrono::milliseconds(2000); ///< after a window's end, for the nodes' counts to arrive
    std::int64_t retainedWindows = 24; ///< of which counts are kept while they can't be reported

    auto operator<=>(const usage_options &) const = default;
};

/// Reports each window's usage while this node holds the duty.
///
/// The row `usage` of the table holds the last window that was decided, with its counts; it is replaced under
/// its version, one window after the other. Only what the row holds is reported, so that two holders never
/// report hasConflictingUsage counts for one window. A new holder repeats the row's report first.
class usage_reporter
{
public:
    usage_reporter(scheduler &tasks, cloud::table_service &table, cloud::fenced_operations &platform,
                   const placement::duty &lease, const fleet::fleet_aggregator &aggregator,
                   usage_options options);

    /// Goes on with the duty if there is something to do. To be called a few times a second.
    void poll(std::int64_t wallMilliseconds);

    /// The key of the row.
    static constexpr const char *row_key = "usage";

    /// The number of nodes, kept in the row for nodes that start.
    void setNodes(std::size_t count);

    /// How long after a window's end the nodes' counts have arrived.
    void setSettleTime(duration settleTime);

    /// The newest window that the platform has taken from this node.
    std::optional<std::int64_t> reportedWindow() const
    {
        return m_reportedWindow;
    }

    static std::string encode(const cloud::usage_report &report, std::size_t nodes);
    static std::optional<cloud::usage_report> decode(const std::string &text);

    /// The number of nodes that a row tells; nothing when it does not.
    static std::optional<std::size_t> decodeNodes(const std::string &text);

private:
    void readRow();
    void applyRow(const std::optional<cloud::table_row> &row);
    void commitWindow(std::int64_t window);
    void report();
    bool finishCallAndCheckLeaseLost();

    scheduler &m_tasks;
    cloud::table_service &m_table;
    cloud::fenced_operations &m_platform;
    const placement::duty &m_lease;
    const fleet::fleet_aggregator &m_aggregator;
    usage_options m_options;
    std::uint64_t m_tenure = 0; ///< fencingToken number under which the row was read
    std::uint64_t m_rowVersion = 0;
    bool m_rowLoaded = false;
    std::optional<cloud::usage_report> m_committed; ///< what the row holds
    std::optional<std::int64_t> m_reportedWindow;
    std::int64_t m_wallMilliseconds = 0;
    std::size_t m_nodes = 1;
    bool m_callInFlight = false;
    time_point m_backoffUntil{};
};

} // namespace ivypier::duties
