#pragma once

#include "base/metrics_registry.h"
#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/weight_store.h"
#include "configuration/document.h"
#include "placement/duty.h"
#include "upstream/model_engine.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace ivypier::placement {

/// A runner that the controller sends orders to.
struct runner
{
    std::string id;
    endpoint address;

    auto operator<=>(const runner &) const = default;
};

/// The state that every runner of a service should reach.
struct desired_state
{
    std::string service;
    std::string model;
    std::string modelVersion;
    std::string adapter; ///< empty: any
    std::string role; ///< empty: any
    configuration::fencing_check fencing = configuration::fencing_check::checked;

    auto operator<=>(const desired_state &) const = default;
};

struct runner_controller_options
{
    duration interval = std::chrono::seconds(2); ///< between two rounds of polls, before jitter
    double maxConvergedPollsPerSecond = 30.0; ///< of runners that were converged when last polled
    double maxDivergedPollsPerSecond = 100.0; ///< of all other runners
    double maxLoadingFraction = 0.2; ///< fraction of a service's runners that may be not serving at once
    duration loadTimeout = std::chrono::minutes(10); ///< after which an unfinished load is ordered again
    duration maxBackoff = std::chrono::seconds(30);

    auto operator<=>(const runner_controller_options &) const = default;
};

/// Brings the runners of one service to the desired state and keeps them there, while the service's order
/// lease is held. Not thread-safe: call it only from tasks of its scheduler.
///
/// It polls the engines and sends an order to each one whose reported state differs from the desired state.
/// An order names the target state and not a step, so it is idempotent. Engines that check fencing tokens
/// get one order from each new lease holder even if their state is as desired, so that they refuse late
/// orders of an earlier holder. Engines that don't check them may accept such an order and are corrected
/// after the next poll. Runners are polled round-robin at a bounded rate; those that have not converged are
/// polled more often.
class runner_controller
{
public:
    struct dependencies
    {
        scheduler &tasks;
        random_source &randomness;
        upstream::model_engine &engines;
        cloud::weight_store &weights;
        const duty &dutyLease;
        metrics_registry &metrics;
    };

    runner_controller(const dependencies &collaborators, runner_controller_options options);

    /// Replaces the desired state and the list of runners. What is known of a runner is kept unless its
    /// address changed.
    void setDesiredState(desired_state desired, const std::vector<runner> &runners);

    /// Starts to poll the runners.
    void start();

    /// Returns the number of runners that reported the desired state when last polled.
    std::size_t convergedCount() const;

private:
    struct runner_state
    {
        endpoint address;
        upstream::engine_load load;
        bool reachable = false;
        bool pollInFlight = false;
        bool waitingForWeights = false;
        bool orderInFlight = false;
        bool loading = false; ///< a load was ordered and the desired state was not reported since
        time_point loadingSince{};
        time_point lastOrderCompletedAt{}; ///< when the last order was answered or failed
        time_point nextOrderAt{}; ///< backoff: no order is sent earlier
        unsigned failures = 0; ///< consecutive failed orders
        std::uint64_t fencedTenure = 0; ///< the highest lease tenure of the orders it accepted
    };

    void reconcile();
    void pollRunners(std::string &last, double maxPollsPerSecond, bool converged);
    void pollRunner(const std::string &id, runner_state &state);
    void reconcileRunner(const std::string &id);
    void startLoad(const std::string &id, runner_state &state);
    void requestWeights(const std::string &id);
    void onWeightDelivery(const std::string &id, const outcome<cloud::weight_delivery> &response);
    void sendOrder(const std::string &id, runner_state &state, upstream::engine_order order,
                   bool requiresLoad);
    void onOrderCompleted(const std::string &id, const lease &orderLease, bool requiresLoad,
                          const outcome<void> &response);
    bool matches(const upstream::engine_load &load) const;
    bool needsLoad(const upstream::engine_load &load) const;
    bool canInterruptServing() const;
    std::optional<lease> currentLease() const;
    duration backoff(unsigned failures);
    bool isConverged(const runner_state &state) const;
    bool isFenced(const runner_state &state) const;
    void recordResult(const std::string &result);
    runner_state *findRunner(const std::string &id);

    dependencies m_dependencies;
    runner_controller_options m_options;
    desired_state m_desired;
    std::map<std::string, runner_state> m_runners;
    std::string m_lastConverged; ///< last converged runner polled; the next round continues after it
    std::string m_lastDiverged; ///< the same for the other runners
    std::uint64_t m_highestRefusedFencingToken
        = 0; ///< an engine refused this fencing token and knows a higher one
    bool m_weightRequestInFlight = false;
    time_point m_nextWeightRequestAt{};
};

} // namespace ivypier::placement
