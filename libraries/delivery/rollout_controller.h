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
    /// Statements on a rollout that has ended are repeated for nodes that join.
    static constexpr duration ended_statement_interval = std::chrono::seconds(3);
    /// Upstreams count as present until none was seen for this long.
    static constexpr duration presence_time = std::chrono::seconds(1);
    /// Time between two writes of the record of a rollout whose share changes.
    static constexpr duration record_interval = std::chrono::seconds(1);

    rollout_controller(scheduler &tasks, cloud::table_service &table, rollout_status_table &statusTable,
                       announcer announce);

    void setLimits(rollout_limits limits);

    /// Sets the orders in force. Orders that are missing are withdrawn. All nodes call this as they read the
    /// orders, so that the next holder of the duties knows when an order came.
    void setOrders(const std::vector<rollout_order> &orders);

    /// To be called about every 100 ms.
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
        rollout_state state = rollout_state::in_progress;
        bool isCompleting = false; ///< completion was decided, and its write is awaited
        bool mayBeCompleted = false; ///< a write of the completion has no known result
        double share = 0.0;
        time_point shareSince{};
        std::string reason;
        evidence_series series;
        evidence_totals target;
        evidence_totals other;
        duration evidenceAge{};
        std::optional<time_point> targetSeenAt;
        std::optional<time_point> otherSeenAt;
        std::uint64_t sequence = 0;
        time_point nextStatement{};

        bool isRecordTaken = false; ///< in the present tenure
        bool isRecordKnown = false; ///< the row was read since the last uncertain write
        bool isRecordBusy = false;
        std::uint64_t recordVersion = 0;
        std::optional<rollout_record> record; ///< as written last
        time_point nextRecordCall{};

        bool isStatusKnown = false;
        bool isStatusBusy = false;
        std::uint64_t statusVersion = 0;
        std::optional<rollout_status_row> status; ///< as written last
        std::uint64_t startedStatusVersion = 0; ///< of the row that states it as in progress
        time_point nextStatusCall{};
    };

    /// Finds the rollout for which a call to the store was made, unless the tenure or the order changed.
    rollout *find(const std::string &service, std::uint64_t orderVersion, std::uint64_t tenure);
    void beginTenure(std::uint64_t fencingToken);
    void noteEra();
    void noteInput(rollout &current, const rollout_input &input);
    void applyHeard(rollout &current);
    void decide(rollout &current, const rollout_input &input);
    void setEnded(rollout &current, rollout_state state, const std::string &reason);
    void stateIfDue(rollout &current);
    void announce(rollout &current);

    void updateRecord(rollout &current);
    void readRecord(rollout &current);
    void writeRecord(rollout &current);
    void takeRecord(rollout &current, const std::optional<cloud::table_row> &row);
    rollout_record recordOf(const rollout &current) const;

    void updateStatus(rollout &current);
    void readStatus(rollout &current);
    void writeStatus(rollout &current, const rollout_status_row &row);
    void takeStatus(rollout &current, const std::optional<rollout_status_row> &row);

    scheduler &m_tasks;
    cloud::table_service &m_table;
    rollout_status_table &m_statusTable;
    announcer m_announce;
    rollout_limits m_limits;
    std::optional<std::uint64_t> m_tenure;
    std::uint64_t m_era = 0; ///< of the table at the last poll
    bool m_isSuperseded = false; ///< a row shows a holder with a higher fencing token
    std::map<std::string, rollout> m_rollouts; ///< by service
    std::map<std::string, rollout_status> m_heard; ///< newest statements of other holders, by service
};

} // namespace ivypier::delivery
