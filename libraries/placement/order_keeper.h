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
struct wanted_state
{
    std::string service;
    std::string model;
    std::string modelVersion;
    std::string adapter; ///< empty: any
    std::string role; ///< empty: any
    configuration::fencing_check fencing = configuration::fencing_check::checked;

    auto operator<=>(const wanted_state &) const = default;
};

struct order_options
{
    duration interval = std::chrono::seconds(2); ///< between two looks at each runner
    double mostLooksPerSecond = 30.0; ///< at runners that were right when last seen
    double mostLooksAtWrongPerSecond = 100.0; ///< at the others
    double mostLoading = 0.2; ///< part of a service's runners that may be without service at once
    duration loadLimit = std::chrono::minutes(10); ///< after which a load that does not end is ordered again
    duration longestBackoff = std::chrono::seconds(30);

    auto operator<=>(const order_options &) const = default;
};

/// Brings the runners of one service to the wanted state and keeps them there, while its duty is held. Only
/// from tasks of its scheduler.
///
/// It compares what each engine reports with what is wanted and orders the difference; an order names the
/// state and not a step, so that giving it again is harmless. Engines that check fencing numbers get one
/// order from each new holder even when nothing differs, so that they refuse what an earlier holder still
/// sends. Engines that don't are brought back at the next look. Runners are looked at in turn at a bounded
/// rate, those that are not right more often than the others.
class order_keeper
{
public:
    struct parts
    {
        scheduler &tasks;
        random_source &randomness;
        upstream::model_engine &engines;
        cloud::weight_store &weights;
        const duty &permission;
        metrics_registry &metrics;
    };

    order_keeper(const parts &given, order_options options);

    void setWanted(wanted_state wanted, const std::vector<runner> &runners);

    /// Starts to look at the runners.
    void start();

    /// Runners that reported the wanted state at the last look.
    std::size_t rightCount() const;

private:
    struct runner_state
    {
        endpoint address;
        upstream::engine_load load;
        bool reachable = false;
        bool reading = false;
        bool waitingForWeights = false;
        bool ordering = false;
        bool loading = false; ///< it was ordered to load and has not reported the wanted state since
        time_point loadingSince{};
        time_point orderedAt{}; ///< when the last order was answered
        time_point notBefore{}; ///< of the next order
        unsigned failures = 0; ///< orders that failed one after another
        std::uint64_t fencedTenure = 0; ///< of the last order it accepted
    };

    void turn();
    void lookInTurn(std::string &last, double mostPerSecond, bool right);
    void look(const std::string &id, runner_state &state);
    void compare(const std::string &id);
    void load(const std::string &id, runner_state &state);
    void askForWeights(const std::string &id);
    void onDelivery(const std::string &id, const outcome<cloud::weight_delivery> &answer);
    void order(const std::string &id, runner_state &state, upstream::engine_order wanted, bool loads);
    void onOrdered(const std::string &id, const lease &under, bool loads, const outcome<void> &answer);
    bool matches(const upstream::engine_load &load) const;
    bool needsLoad(const upstream::engine_load &load) const;
    bool mayStopServing() const;
    std::optional<lease> permission() const;
    duration backoff(unsigned failures);
    bool isRight(const runner_state &state) const;
    bool isFenced(const runner_state &state) const;
    void count(const std::string &result);
    runner_state *find(const std::string &id);

    parts m_parts;
    order_options m_options;
    wanted_state m_wanted;
    std::map<std::string, runner_state> m_runners;
    std::string m_lastRight; ///< where the round over the right ones goes on
    std::string m_lastWrong; ///< where the round over the others goes on
    std::uint64_t m_refusedFencing = 0; ///< an engine knows a higher one than this
    bool m_weightsAsked = false;
    time_point m_weightsNotBefore{};
};

} // namespace ivypier::placement
