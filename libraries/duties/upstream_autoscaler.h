#pragma once

#include "base/scheduler.h"
#include "cloud/fenced_operations.h"
#include "duties/capacity_policy.h"
#include "placement/duty.h"
#include "relay/upstream_directory.h"
#include "relay/work_meter.h"

#include <map>
#include <string>
#include <tuple>

namespace ivypier::duties {

struct autoscaler_options
{
    duration bootMargin
        = std::chrono::seconds(3); ///< on top of an upstream's boot time, until it must be discovered
    duration retryDelay = std::chrono::seconds(2); ///< after a rejected order
    duration riseTimeConstant
        = std::chrono::milliseconds(800); ///< time constant with which the load follows a riseTimeConstant
    duration fallTimeConstant
        = std::chrono::seconds(12); ///< and a fallTimeConstant: a short lull releases nothing
    double hysteresis = 0.15; ///< part by which the load must fallTimeConstant before fewer are planned
    /// No upstream may have been found for so long before the first order: those that run list themselves one
    /// by one when the whole system starts.
    duration discoveryQuietPeriod = std::chrono::milliseconds(1300);
    /// Domains are taken back one after the other: so long after one was, no fewer reclaimable ones are
    /// ordered.
    duration reclaimHoldTime = std::chrono::seconds(12);
    duration warmUpTime
        = std::chrono::seconds(6); ///< calls must have come for so long before the load counts

    auto operator<=>(const autoscaler_options &) const = default;
};

/// Orders upstreams of the services that may be scaled while this node holds the duty.
///
/// Orders are levels: the desired number of one kind in one domain. One is sent when it differs from what was
/// sent last, and again when the list of upstreams still shows another number once they should have booted:
/// a call without an answer may be carried out late and put back an older number.
class upstream_autoscaler
{
public:
    upstream_autoscaler(scheduler &tasks, cloud::fenced_operations &platform, const placement::duty &lease,
                        relay::upstream_directory &upstreams, capacity_policy policy,
                        autoscaler_options options);

    /// Brings the orders up to date. To be called a few times a second.
    void poll(const relay::service_map &configuration,
              const std::map<std::string, relay::service_work> &work);

private:
    using order_key = std::tuple<std::string, std::string, bool>; ///< service, domain, reclaimable

    struct sent_order
    {
        std::uint32_t count = 0;
        time_point sentAt{};
        bool rejected = false;
        bool open = false; ///< its answer has not come
    };
    struct load_state
    {
        double value = 0.0;
        time_point at{};
        time_point since{}; ///< first calls
        time_point lastFoundAt{}; ///< when more upstreams were found, until the first order
        std::uint32_t found = 0; ///< upstreams before the first order
        bool discovered = false;
        bool started = false;
    };

    /// True once no further upstream has been found for a while.
    bool isDiscoveryDone(const std::string &service, const capacity_plan &there);

    /// The load to plan for; before calls have come for a while, that of the upstreams which were found.
    double smoothLoad(const std::string &service, const relay::service_work &work);

    /// The load with hysteresis.
    double applyHysteresis(const std::string &service, double load);
    capacity_plan present(const std::string &service) const;

    /// What was ordered since an upstream of the kind last left, taken by the platform, and can be booting
    /// still.
    capacity_plan booting(const relay::service &of, const capacity_plan &there) const;
    /// Notes when reclaimable upstreams were taken back, and keeps a plan from releasing others soon after.
    void holdReclaimable(const std::string &service, const capacity_plan &there, capacity_plan &plan);
    void logPlan(const std::string &service, double load, const capacity_plan &plan);
    void order(const relay::service &of, const std::string &domain, bool reclaimable, std::uint32_t count,
               std::uint32_t there);
    void send(const order_key &key, std::uint32_t count, std::uint64_t fencingToken);

    scheduler &m_tasks;
    cloud::fenced_operations &m_platform;
    const placement::duty &m_lease;
    const relay::upstream_directory &m_upstreams;
    capacity_policy m_policy;
    autoscaler_options m_options;
    std::uint64_t m_tenure = 0;
    std::map<order_key, sent_order> m_sent;
    std::map<order_key, time_point> m_lastLeavingAt; ///< when an upstream last left
    std::map<std::string, time_point> m_reclaimedAt; ///< by service
    std::map<std::string, load_state> m_loads;
    std::map<std::string, double> m_plannedLoads;
    std::map<std::string, capacity_plan> m_previousPlans; ///< as logged last
};

} // namespace ivypier::duties
