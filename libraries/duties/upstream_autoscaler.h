#pragma once

#include "base/scheduler.h"
#include "cloud/fenced_operations.h"
#include "delivery/rollout_gate.h"
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
    /// Added to the boot time before an order counts as failed and is repeated.
    duration bootMargin = std::chrono::seconds(3);
    /// Minimum time between two orders of the same kind and domain.
    duration retryDelay = std::chrono::seconds(2);
    /// Time constant of the smoothed load when it rises.
    duration riseTimeConstant = std::chrono::milliseconds(800);
    /// Time constant of the smoothed load when it falls; longer, so that a short dip releases nothing.
    duration fallTimeConstant = std::chrono::seconds(12);
    /// Fraction by which the load must fall before fewer upstreams are planned.
    double hysteresis = 0.15;
    /// The first order is placed only after no new upstream has been found for this long: when the whole
    /// system starts, running upstreams register one by one.
    duration discoveryQuietPeriod = std::chrono::milliseconds(1300);
    /// The number of reclaimable upstreams is not reduced for this long after upstreams of a domain were
    /// reclaimed, because reclaims often hit one domain after the other.
    duration reclaimHoldTime = std::chrono::seconds(12);
    /// Time after the first call until the measured load alone is used.
    duration warmUpTime = std::chrono::seconds(6);

    auto operator<=>(const autoscaler_options &) const = default;
};

/// Orders upstreams of the scalable services while this node holds the duty.
///
/// An order sets the desired number of upstreams of one kind in one domain. It is sent when the number
/// differs from the last order, and again if the list of upstreams still shows another number after the boot
/// time: the platform may execute a call that timed out late and so restore an older number.
class upstream_autoscaler
{
public:
    upstream_autoscaler(scheduler &tasks, cloud::fenced_operations &platform, const placement::duty &lease,
                        relay::upstream_directory &upstreams, capacity_policy policy,
                        autoscaler_options options);

    /// Has the upstreams of a rollout's target left out of the count while it is in progress and after it was
    /// rolled back. `gate` must outlive this object.
    void followRollouts(const delivery::rollout_gate &gate);

    /// Updates the orders. Must be called a few times per second.
    void poll(const relay::service_map &configuration,
              const std::map<std::string, relay::service_work> &work);

private:
    using order_key = std::tuple<std::string, std::string, bool>; ///< service, domain, reclaimable

    struct sent_order
    {
        std::uint32_t count = 0;
        time_point sentAt{};
        bool rejected = false;
        bool pending = false; ///< no response yet
    };
    struct load_state
    {
        double smoothed = 0.0;
        time_point updatedAt{};
        time_point firstCallAt{}; ///< when the first calls were seen
        time_point lastFoundAt{}; ///< when the number of upstreams last grew during discovery
        std::uint32_t initialUpstreams = 0; ///< highest number of upstreams found during discovery
        bool discovered = false;
        bool hasSample = false;
    };

    /// Returns true once no new upstream has been found for `discoveryQuietPeriod`.
    bool isDiscoveryDone(const std::string &service, const capacity_plan &present);

    /// Returns the smoothed load. Until `warmUpTime` after the first call it is at least the load that the
    /// initial upstreams are sized for.
    double smoothLoad(const std::string &service, const relay::service_work &work);

    /// Returns the load to plan for: a rise is followed at once, a fall only if it exceeds the hysteresis.
    double applyHysteresis(const std::string &service, double load);
    capacity_plan countPresent(const std::string &service) const;

    /// Returns the upstreams that were ordered, not rejected and may still be booting. An order does not
    /// count if an upstream of its kind and domain has stopped accepting calls since.
    capacity_plan countBooting(const relay::service &scaled, const capacity_plan &present) const;
    /// Records when reclaimable upstreams were reclaimed, and for `reclaimHoldTime` after that keeps the plan
    /// from releasing others.
    void holdReclaimable(const std::string &service, const capacity_plan &present, capacity_plan &plan);
    /// Keeps the plan from releasing upstreams while a rollout of the service is in progress: the calls that
    /// the target serves then come back when it is rolled back.
    void holdDuringRollout(const std::string &service, const capacity_plan &present,
                           capacity_plan &plan) const;
    void logPlan(const std::string &service, double load, const capacity_plan &plan);
    void orderIfNeeded(const relay::service &service, const std::string &domain, bool reclaimable,
                       std::uint32_t count, std::uint32_t present);
    void send(const order_key &key, std::uint32_t count, std::uint64_t fencingToken);

    scheduler &m_tasks;
    cloud::fenced_operations &m_platform;
    const placement::duty &m_lease;
    const relay::upstream_directory &m_upstreams;
    capacity_policy m_policy;
    autoscaler_options m_options;
    const delivery::rollout_gate *m_rollouts = nullptr;
    std::uint64_t m_tenure = 0;
    std::map<order_key, sent_order> m_sent;
    std::map<order_key, time_point> m_lastLeavingAt; ///< when an upstream last stopped accepting calls
    std::map<std::string, time_point> m_reclaimedAt; ///< by service
    std::map<std::string, load_state> m_loads;
    std::map<std::string, double> m_plannedLoads;
    /// Plans of the last poll, by service. A plan that differs from the last one is logged.
    std::map<std::string, capacity_plan> m_previousPlans;
};

} // namespace ivypier::duties
