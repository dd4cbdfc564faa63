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

/// A runner that takes orders.
struct runner
{
    std::string id;
    endpoint address;

    auto operator<=>(const runner &) const = default;
};

/// The state that every runner of a service shall have.
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
    duration interval = std::chrono::seconds(2); ///< between two looks at each runner
    double maxConvergedPollsPerSecond = 30.0; ///< at runners that were converged when last seen
    double maxDivergedPollsPerSecond = 100.0; ///< at the others
    double maxLoadingFraction = 0.2; ///< part of a service's runners that may be notServing service at once
    duration loadTimeout
        = std::chrono::minutes(10); ///< after which a load that does not end is ordered again
    duration maxBackoff = std::chrono::seconds(30);

    auto operator<=>(const runner_controller_options &) const = default;
};

/// Brings the runners of one service to the wanted state and keeps them there, while its duty is held. Only
/// from tasks of its scheduler.
///
/// It compares what each engine reports with what is wanted and orders the difference; an order names the
/// state and not a step, so that giving it again is harmless. Engines that check fencing numbers get one
/// order from each new holder even when nothing differs, so that they refuse what an earlier holder still
/// sends. Engines that don't are brought back at the next pollRunner. Runners are looked at in reconcile at a
/// bounded rate, those that are not converged more often than the others.
class runner_controller
{
public:
    struct parts
    {
        scheduler &tasks;
        random_source &randomness;
        upstream::model_engine &engines;
        cloud::weight_store &weights;
        const duty &dutyLease;
        metrics_registry &metrics;
    };

    runner_controller(const parts &collaborators, runner_controller_options options);

    void setDesiredState(desired_state wanted, const std::vector<runner> &runners);

    /// Starts to pollRunner at the runners.
    void start();

    /// Runners that reported the wanted state at the last pollRunner.
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
        bool loading = false; ///< it was ordered to load and has not reported the wanted state since
        time_point loadingSince{};
        time_point lastOrderCompletedAt{}; ///< when the last order was answered
        time_point nextOrderAt{}; ///< of the next order
        unsigned failures = 0; ///< orders that failed one after another
        std::uint64_t fencedTenure = 0; ///< of the last order it accepted
    };

    void reconcile();
    void pollRunners(std::string &last, double maxPollsPerSecond, bool converged);
    void pollRunner(const std::string &id, runner_state &state);
    void compare(const std::string &id);
    void load(const std::string &id, runner_state &state);
    void requestWeights(const std::string &id);
    void onWeightDelivery(const std::string &id, const outcome<cloud::weight_delivery> &response);
    void order(const std::string &id, runner_state &state, upstream::engine_order wanted, bool requiresLoad);
    void onOrderCompleted(const std::string &id, const lease &orderLease, bool requiresLoad,
                          const outcome<void> &response);
    bool matches(const upstream::engine_load &load) const;
    bool needsLoad(const upstream::engine_load &load) const;
    bool canInterruptServing() const;
    std::optional<lease> dutyLease() const;
    duration backoff(unsigned failures);
    bool isConverged(const runner_state &state) const;
    bool isFenced(const runner_state &state) const;
    void count(const std::string &result);
    runner_state *find(const std::string &id);

    parts m_parts;
    runner_controller_options m_options;
    desired_state m_desired;
    std::map<std::string, runner_state> m_runners;
    std::string m_lastConverged; ///< where the round over the converged ones goes on
    std::string m_lastDiverged; ///< where the round over the others goes on
    std::uint64_t m_highestRefusedFencing = 0; ///< an engine knows a higher one than this
    bool m_weightRequestInFlight = false;
    time_point m_nextWeightRequestAt{};
};

} // namespace ivypier::placement
