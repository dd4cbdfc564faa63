#pragma once

#include "base/metrics_registry.h"
#include "base/scheduler.h"
#include "delivery/rollout_controller.h"
#include "fleet/fleet_exchange.h"
#include "http/incoming_head.h"
#include "http/reply.h"
#include "membership/membership_view.h"
#include "placement/duty.h"
#include "platform/rollout_status_client.h"
#include "platform/store_table.h"
#include "relay/call_rollouts.h"
#include "relay/upstream_directory.h"

#include <json/value.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::edge {

/// Connects the parts of rollouts on a node: takes the orders, spreads and hears the statements, and has the
/// controller act while this node holds the duties. Also lets an operator see and stop rollouts.
class rollout_control
{
public:
    static constexpr duration poll_interval = std::chrono::milliseconds(200);
    /// A statement that is older than this by the wall clock gives no permission, although it is heard only
    /// now. It allows for clocks that differ.
    static constexpr duration max_statement_age = std::chrono::seconds(10);

    rollout_control(scheduler &tasks, relay::call_rollouts &calls, membership::membership_view &members,
                    adapter::store_client &store, const placement::duty &lease,
                    const fleet::fleet_exchange &exchange, const relay::upstream_directory &upstreams);

    /// Starts to act. Without this call orders are ignored.
    void start(delivery::rollout_limits limits);

    /// Sets the orders in force.
    void setOrders(const std::vector<delivery::rollout_order> &orders);

    /// Handles a request to the metrics address: GET `/rollouts` returns a JSON array with an object for each
    /// order, POST `/rollouts/stop` with the JSON text of a `service` rolls its order in progress back.
    void handleRequest(const http::incoming_request &incoming, http::reply &to);

    /// Sets the gauges of the rollouts.
    void exportTo(metrics_registry &metrics) const;

private:
    void poll();
    void applyStops();
    void announce(const delivery::rollout_status &status);
    void handleFact(const membership::fact &update);
    delivery::version_evidence evidence();
    std::map<std::string, delivery::rollout_upstreams> countUpstreams() const;
    Json::Value report() const;
    Json::Value reportOrder(const delivery::rollout_order &order) const;
    outcome<void> stop(std::string_view text);

    scheduler &m_tasks;
    relay::call_rollouts &m_calls;
    membership::membership_view &m_members;
    const placement::duty &m_lease;
    const fleet::fleet_exchange &m_exchange;
    const relay::upstream_directory &m_upstreams;
    adapter::store_table m_statusTable;
    adapter::rollout_status_client m_status;
    delivery::rollout_controller m_controller;
    bool m_isStarted = false;
    std::vector<delivery::rollout_order> m_orders;
    std::map<std::string, std::uint64_t> m_totals; ///< evidence of the fleet, by sample name
    std::map<std::string, delivery::rollout_status> m_heard; ///< newest statements, by service
    std::map<std::string, time_point> m_heardAt;
};

} // namespace ivypier::edge
