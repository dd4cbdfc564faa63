#pragma once

#include "base/metrics_registry.h"
#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/cloud_service.h"
#include "cloud/table_service.h"
#include "placement/demand_estimate.h"
#include "placement/demand_source.h"
#include "placement/duty.h"
#include "placement/mix_policy.h"
#include "placement/start_backoff.h"
#include "placement/start_record.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ivypier::placement {

/// The load that one VM of a machine class carries within a service's latency target.
struct class_capacity
{
    std::string machineClass;
    double requestsPerSecond = 0.0;
    double tokensPerSecond = 0.0; ///< generated tokens; 0: only requestsPerSecond limits the VM

    auto operator<=>(const class_capacity &) const = default;
};

/// A service whose VMs are managed by a capacity controller.
struct planned_service
{
    std::string name;
    double budgetPerHour = 0.0;
    double minRequestsPerSecond = 0.0; ///< capacity to keep when there is no demand
    std::vector<class_capacity> capacities;
    bool retired = false; ///< no longer configured: all its VMs are released

    auto operator<=>(const planned_service &) const = default;
};

struct capacity_options
{
    duration interval = std::chrono::seconds(5); ///< between two cycles, before jitter
    duration releaseDelay
        = std::chrono::minutes(2); ///< for which a type must have surplus VMs before they are released
    duration releaseNotice = std::chrono::minutes(1); ///< time that a released VM has to finish its work
    duration listingTimeout
        = std::chrono::minutes(10); ///< after which a start whose VM is not listed counts as lost
    std::size_t maxStartsPerCycle = 50;
    demand_estimate_options demand;

    auto operator<=>(const capacity_options &) const = default;
};

/// Keeps the VMs of one service at the mix that its policy chooses, while the service's capacity lease is
/// held. Not thread-safe: call it only from tasks of its scheduler.
///
/// Each cycle reads the VM list, the reclaim notices and the prices, and compares the running VMs with the
/// mix. Missing VMs are first recorded with their tokens in the service's table row and then ordered from the
/// cloud. Surplus VMs are released after a delay, and only once their replacements run or when the budget
/// can't pay for both.
class capacity_controller
{
public:
    struct dependencies
    {
        scheduler &tasks;
        random_source &randomness;
        cloud::table_service &table;
        cloud::cloud_service &cloud;
        const demand_source &demand;
        const mix_policy &policy;
        const duty &dutyLease;
        metrics_registry &metrics;
    };

    capacity_controller(const dependencies &collaborators, planned_service service, capacity_options options);

    /// Replaces the configuration of the service; it takes effect at the next cycle.
    void setService(planned_service service);

    /// Runs the first cycle and schedules the following ones.
    void start();

    /// Returns the mix chosen in the last cycle.
    const vm_mix &mix() const;

private:
    struct vm_inventory
    {
        std::map<vm_type, std::vector<std::string>> live; ///< ids of the service's usable VMs, by type
        std::set<std::string> listed; ///< ids of all VMs in the list, in any state and of any role
    };

    void reconcile();
    void readRecord(std::uint64_t cycle);
    void readVms(std::uint64_t cycle);
    void readNotices(std::uint64_t cycle, std::vector<cloud::vm_record> vms);
    void readPrices(std::uint64_t cycle, const vm_inventory &inventory);
    void decide(const vm_inventory &inventory);
    vm_inventory buildInventory(const std::vector<cloud::vm_record> &vms) const;
    void pruneRecord(const vm_inventory &inventory);
    mix_request buildRequest(const vm_inventory &inventory);
    double plannedDemand();
    double capacityPerVm(const std::string &machineClass) const;
    std::map<vm_type, std::uint32_t> countByType(const vm_inventory &inventory) const;
    void planStarts(const std::map<vm_type, std::uint32_t> &running);
    void releaseSurplus(const vm_inventory &inventory);
    void writeRecord();
    void startPendingVms();
    void onStarted(const pending_start &ordered, const outcome<cloud::vm_record> &response);
    void publishMetrics(const mix_request &request, const vm_inventory &inventory);
    bool isCurrent(std::uint64_t cycle) const;

    dependencies m_dependencies;
    planned_service m_service;
    capacity_options m_options;
    demand_estimate m_estimate;
    start_backoff m_backoff;
    std::uint64_t m_cycle = 0; ///< responses to calls of earlier cycles are dropped
    std::uint64_t m_tenure = 0; ///< the lease's tenure under which m_record was read
    std::optional<start_record> m_record;
    std::uint64_t m_recordVersion = 0;
    bool m_recordChanged = false;
    bool m_hasMissingVms = false; ///< VMs of the mix were missing in the last cycle
    std::map<std::string, time_point> m_pendingSince; ///< by token
    std::map<std::string, std::string>
        m_startedVms; ///< VM id by token, once the cloud has answered the order
    std::set<std::string> m_startsInFlight; ///< tokens of the orders in flight
    std::set<std::string> m_noticedVms; ///< VMs with a reclaim notice
    std::set<std::string> m_releasedVms; ///< VMs released by this process
    std::map<vm_type, double> m_prices; ///< per hour, as last listed
    std::map<vm_type, time_point> m_surplusSince;
    std::optional<mix_request> m_lastRequest;
    vm_mix m_mix;
};

} // namespace ivypier::placement
