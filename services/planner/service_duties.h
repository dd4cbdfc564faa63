#pragma once

#include "configuration/document.h"
#include "placement/capacity_controller.h"
#include "placement/lease.h"
#include "placement/runner_controller.h"
#include "planner_settings.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::planner {

/// The two duties of one service, each under its own lease: its VMs, and the orders to its runners.
class service_duties
{
public:
    struct parts
    {
        scheduler &tasks;
        random_source &randomness;
        cloud::table_service &table;
        cloud::cloud_service &cloud;
        cloud::weight_store &weights;
        upstream::model_engine &engines;
        const placement::demand_source &demand;
        const placement::mix_policy &policy;
        metrics_registry &metrics;
        const planner_settings &settings;
        std::string holder; ///< this incarnation of this planner
    };

    service_duties(const parts &collaborators, const configuration::service &service);

    void start();

    /// Takes over a changed service.
    void setService(const configuration::service &service);

    /// The service is no longer configured: its runners get no more orders and its VMs are collaborators
    /// back.
    void retire();

    void setRunners(const std::vector<placement::runner> &runners);

    /// The planners that share the duties.
    void setPlanners(const std::string &self, const std::vector<std::string> &planners);

    /// Gives both leases up; `done` is called once for each.
    void release(const std::function<void()> &done);

    const placement::lease_manager &capacityLease() const;
    const placement::lease_manager &orderLease() const;
    const placement::vm_mix &mix() const;

private:
    placement::planned_service plannedService() const;
    placement::desired_state desiredState() const;

    parts m_parts;
    configuration::service m_service;
    bool m_retired = false;
    std::vector<placement::runner> m_runners;
    placement::lease_manager m_capacityLease;
    placement::lease_manager m_orderLease;
    placement::capacity_controller m_capacity;
    placement::runner_controller m_orders;
};

} // namespace ivypier::planner
