#pragma once

#include "base/scheduler.h"
#include "cloud/table_service.h"
#include "delivery/evidence_series.h"
#include "delivery/rollout_decision.h"
#include "delivery/rollout_order.h"
#include "delivery/rollout_record.h"
#include "delivery/rollout_status_table.h"
#include "delivery/version_evidence.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::delivery {

/// Upstreams of a service with a rollout, as the holder of the duties sees them.
struct rollout_upstreams
{
    std::size_t target = 0; ///< upstreams of the target that accept calls
    std::size_t other = 0; ///< upstreams of other versions that accept calls
    std::uint64_t streamsOnOther = 0; ///< running calls on upstreams of other versions, over the fleet

    auto operator<=>(const rollout_upstreams &) const = default;
};

/// Current state of the fleet, for rollout_controller::poll().
struct rollout_input
{
    std::optional<std::uint64_t> fencingToken; ///< set while this node holds the duties
    version_evidence evidence; ///< sum over the fleet
    duration evidenceAge{}; ///< average age of the reports in the sum
    std::map<std::string, rollout_upstreams> upstreams; ///< by service
};

/// Controls the rollouts while this node holds the duties. Design: docs/design/rollouts-room-locality.md.
class rollout_controller
{
public:
    /// Called with each statement; it is to be spread to the fleet, and to the gate of this node.
    using announcer = std::function<void(const rollout_status &)>;

    /// A statement is repeated after this time, because permissions end.
    static constexpr duration statement_interval = std::chrono::milliseconds(300);
    static constexpr duration retry_interval = std::chrono::milliseconds(300);
    /// Time between two writes of the record of a rollout whose share changes.
    static constexpr duration record_interval = std::chrono::seconds(1);

    rollout_controller(scheduler &tasks, cloud::table_service &table, rollout_status_table &statusTable,
                       announcer announce);

    void setLimits(rollout_limits limits);

    /// Sets the orders in force. Orders that are missing are withdrawn. All nodes call this as they read the
    /// orders, so that the next holder of the duties knows when an order came.
    void setOrders(const std::vector<rollout_order> &orders);

    /// To be called about every 200 ms.
    void poll(const rollout_input &input);

    /// Tells the node's newest knowledge of a statement, also by other holders: a holder whose row is older
    /// doesn't go back from it.
    void noteStatus(const rollout_status &status);

    /// Ends a rollout at the operator's wish.
    void stop(const std::string &service);

    /// A rollout as this node knows it, for the operator.
    struct view
    {
        rollout_status status;
        std::string reason;
        duration timeLeft{};
        duration evidenceAge{};
        evidence_totals target;
        evidence_totals other;
    };
    std::vector<view> views() const;

private:
    struct rollout
    {
        rollout_order order;
        time_point startedAt{}; ///< the earliest time at which the order is known to have been in force
        bool isRecordRead = false; ///< in the present tenure
        bool isReading = false;
        bool isWritingRecord = false;
        bool isWritingStatus = false;
        std::uint64_t recordVersion = 0;
        std::optional<rollout_record> written;
        std::optional<rollout_status_row> statusWritten;
        bool isStatusKnown = false; ///< the status row was read since the last uncertain write
        std::uint64_t statusVersion = 0;
        time_point nextRecordWrite{};
        time_point nextStatusWrite{};
        time_point nextRead{};
        time_point nextStatement{};
        rollout_state state = rollout_state::in_progress;
        bool isCompleting = false; ///< completion was decided, and its write is awaited
        double share = 0.0;
        std::string reason;
        evidence_series series;
        version_evidence newestEvidence;
        duration evidenceAge{};
        std::uint64_t sequence = 0;
        std::uint64_t era = 0; ///< of the table when the rows were written
    };

    void beginTenure(std::uint64_t fencingToken);
    void readRecord(const std::string &service);
    void takeRecord(rollout &current, const std::optional<cloud::table_row> &row);
    void decide(rollout &current, const rollout_input &input);
    void writeRecord(const std::string &service);
    void writeStatus(const std::string &service);
    void readStatus(const std::string &service);
    void applyStatusRow(rollout &current, const std::optional<rollout_status_row> &row);
    void state(rollout &current);
    void setState(rollout &current, rollout_state next, const std::string &reason);
    rollout_status statusOf(const rollout &current) const;
    rollout *find(const std::string &service, std::uint64_t orderVersion);

    scheduler &m_tasks;
    cloud::table_service &m_table;
    rollout_status_table &m_statusTable;
    announcer m_announce;
    rollout_limits m_limits;
    std::optional<std::uint64_t> m_tenure;
    std::map<std::string, rollout> m_rollouts; ///< by service
};

} // namespace ivypier::delivery
