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

/// What one VM of a class carries within a service's latency target.
struct class_capacity
{
    std::string machineClass;
    double requestsPerSecond = 0.0;
    double tokensPerSecond = 0.0; ///< generated; 0: requests alone bound it

    auto operator<=>(const class_capacity &) const = default;
};

/// A service whose VMs are planned.
struct planned_service
{
    std::string name;
    double budgetPerHour = 0.0;
    double minRequestsPerSecond = 0.0; ///< capacity to inventory without any demand
    std::vector<class_capacity> capacities;
    bool retired = false; ///< no longer configured: its VMs are collaborators back

    auto operator<=>(const planned_service &) const = default;
};

struct capacity_options
{
    duration interval = std::chrono::seconds(5);
    duration releaseDelay = std::chrono::minutes(2); ///< how long a VM has to be surplus
    duration releaseNotice = std::chrono::minutes(1); ///< for the work of a released VM to drain
    duration listingTimeout
        = std::chrono::minutes(10); ///< after which a started VM not listed counts as lost
    std::size_t maxStartsPerCycle = 50; ///< in one reconcile
    demand_estimate_options demand;

    auto operator<=>(const capacity_options &) const = default;
};

/// Keeps the VMs of one service at the mix that its policy chooses, while its duty is held. Only from tasks
/// of its scheduler.
///
/// Each reconcile reads the VM list, the notices and the prices, and compares what runs with the mix. Missing
/// VMs are written to the service's row under their tokens and then ordered; surplus ones are released after
/// a delay, and only once what shall replace them runs.
class capacity_controller
{
public:
    struct parts
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

    capacity_controller(const parts &collaborators, planned_service service, capacity_options options);

    void setService(planned_service service);

    /// Starts to reconcile.
    void start();

    /// The mix of the last reconcile.
    const vm_mix &mix() const;

private:
    struct vm_inventory
    {
        std::map<vm_type, std::vector<std::string>> live; ///< ids by type
        std::set<std::string> listed;
    };

    void reconcile();
    void readRecord(std::uint64_t reconcile);
    void readVms(std::uint64_t reconcile);
    void readNotices(std::uint64_t reconcile, std::vector<cloud::vm_record> vms);
    void readPrices(std::uint64_t reconcile, const vm_inventory &inventory);
    void decide(const vm_inventory &inventory);
    vm_inventory buildInventory(const std::vector<cloud::vm_record> &vms) const;
    void settle(const vm_inventory &inventory);
    mix_request request(const vm_inventory &inventory);
    double planned();
    double carried(const std::string &machineClass) const;
    std::map<vm_type, std::uint32_t> counts(const vm_inventory &inventory) const;
    void planStarts(const std::map<vm_type, std::uint32_t> &running);
    void release(const vm_inventory &inventory);
    void writeRecord();
    void startPendingVms();
    void onStarted(const pending_start &ordered, const outcome<cloud::vm_record> &response);
    void report(const mix_request &request, const vm_inventory &inventory);
    bool isCurrent(std::uint64_t reconcile) const;

    parts m_parts;
    planned_service m_service;
    capacity_options m_options;
    demand_estimate m_estimate;
    start_backoff m_backoff;
    std::uint64_t m_cycle = 0;
    std::uint64_t m_tenure = 0;
    std::optional<start_record> m_record;
    std::uint64_t m_recordVersion = 0;
    bool m_recordChanged = false;
    bool m_hasMissingVms = false; ///< VMs of the mix were missing at the last reconcile
    std::map<std::string, time_point> m_pendingSince; ///< by token
    std::map<std::string, std::string> m_startedVms; ///< VM by token, once the cloud said it
    std::set<std::string> m_startsInFlight; ///< tokens whose order is under way
    std::set<std::string> m_noticedVms; ///< VMs that the cloud takes back
    std::set<std::string> m_releasedVms; ///< VMs that this process gave back
    std::map<vm_type, double> m_prices; ///< as last known
    std::map<vm_type, time_point> m_surplusSince;
    std::optional<mix_request> m_lastRequest;
    vm_mix m_mix;
};

} // namespace ivypier::placement
