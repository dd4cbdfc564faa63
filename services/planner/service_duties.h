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

/// The two duties of one service, each under its own lease: managing its VMs and sending orders to its
/// runners.
class service_duties
{
public:
    struct dependencies
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
        std::string holder; ///< name in the leases, unique to this incarnation of the planner
    };

    service_duties(const dependencies &collaborators, const configuration::service &service);

    /// Starts to compete for the leases and runs each duty while its lease is held. Capacity is managed only
    /// for services with configured machine classes, runners only for model services.
    void start();

    /// Applies a changed configuration of the service.
    void setService(const configuration::service &service);

    /// Handles the removal of the service from the configuration: its runners get no more orders and its VMs
    /// are released.
    void retire();

    /// Sets the runners that the orders go to; ignored for a retired service.
    void setRunners(const std::vector<placement::runner> &runners);

    /// Sets the planners that share the duties, and whether this planner competes for each lease.
    void setPlanners(const std::string &self, const std::vector<std::string> &planners);

    /// Releases both leases; `done` is called once for each.
    void release(const std::function<void()> &done);

    const placement::lease_manager &capacityLease() const;
    const placement::lease_manager &orderLease() const;
    /// Returns the mix that the capacity controller chose last.
    const placement::vm_mix &mix() const;

private:
    placement::planned_service plannedService() const;
    placement::desired_state desiredState() const;

    dependencies m_dependencies;
    configuration::service m_service;
    bool m_retired = false;
    std::vector<placement::runner> m_runners;
    placement::lease_manager m_capacityLease;
    placement::lease_manager m_orderLease;
    placement::capacity_controller m_capacity;
    placement::runner_controller m_orders;
};

} // namespace ivypier::planner
