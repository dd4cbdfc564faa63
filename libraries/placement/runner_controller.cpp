#include "placement/runner_controller.h"

#include "base/log_event.h"

#include <algorithm>
#include <cmath>

namespace ivypier::placement {

namespace {

constexpr duration initial_backoff = std::chrono::seconds(1);
constexpr unsigned max_doublings = 16;

upstream::engine_order orderFromLoad(const upstream::engine_load &state)
{
    return {0, state.model, state.modelVersion, state.adapter, state.role};
}

} // namespace

runner_controller::runner_controller(const dependencies &collaborators, runner_controller_options options)
    : m_dependencies(collaborators)
    , m_options(options)
{
}

void runner_controller::setDesiredState(desired_state desired, const std::vector<runner> &runners)
{
    std::map<std::string, runner_state> updated;
    for (const runner &each : runners) {
        const auto known = m_runners.find(each.id);
        if (known != m_runners.end() && known->second.address == each.address)
            updated[each.id] = std::move(known->second);
        updated[each.id].address = each.address;
    }
    m_runners = std::move(updated);
    m_desired = std::move(desired);
}

void runner_controller::start()
{
    reconcile();
}

std::size_t runner_controller::convergedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_runners.begin(), m_runners.end(), [&](const auto &each) { return isConverged(each.second); }));
}

bool runner_controller::isConverged(const runner_state &state) const
{
    return state.reachable && !state.loading && matches(state.load);
}

runner_controller::runner_state *runner_controller::findRunner(const std::string &id)
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

std::optional<lease> runner_controller::currentLease() const
{
    std::optional<lease> held = m_dependencies.dutyLease.held();
    if (held && held->fencingToken <= m_highestRefusedFencingToken)
        held.reset(); // an engine has accepted an order of a later holder
    return held;
}

void runner_controller::reconcile()
{
    const double jitter = 0.5 + m_dependencies.randomness.uniform();
    m_dependencies.tasks.after(fromSeconds(seconds(m_options.interval) * jitter), [this] { reconcile(); });
    if (!currentLease())
        return;
    pollRunners(m_lastDiverged, m_options.maxDivergedPollsPerSecond, false);
    pollRunners(m_lastConverged, m_options.maxConvergedPollsPerSecond, true);
    m_dependencies.metrics.set("ivypier_runners_wanted", {{"service", m_desired.service}},
                               static_cast<double>(m_runners.size()));
    m_dependencies.metrics.set("ivypier_runners_right", {{"service", m_desired.service}},
                               static_cast<double>(convergedCount()));
}

bool runner_controller::isFenced(const runner_state &state) const
{
    const std::optional<lease> held = currentLease();
    return m_desired.fencing == configuration::fencing_check::ignored
        || (held && state.fencedTenure >= held->tenure);
}

void runner_controller::pollRunners(std::string &last, double maxPollsPerSecond, bool converged)
{
    auto pollsLeft = static_cast<std::size_t>(std::max(1.0, maxPollsPerSecond * seconds(m_options.interval)));
    auto next = m_runners.upper_bound(last);
    for (std::size_t visited = 0; visited < m_runners.size() && pollsLeft > 0; ++visited, ++next) {
        if (next == m_runners.end())
            next = m_runners.begin();
        auto &[id, state] = *next;
        if (state.pollInFlight || (isConverged(state) && isFenced(state)) != converged)
            continue;
        last = id;
        --pollsLeft;
        pollRunner(id, state);
    }
}

void runner_controller::pollRunner(const std::string &id, runner_state &state)
{
    state.pollInFlight = true;
    const time_point startedAt = m_dependencies.tasks.now();
    m_dependencies.engines.readLoad(
        state.address, [this, id, startedAt](const outcome<upstream::engine_load> &response) {
            runner_state *known = findRunner(id);
            if (!known)
                return;
            known->pollInFlight = false;
            known->reachable = response.has_value();
            if (!response
                || startedAt < known->lastOrderCompletedAt) // may report the state before the last order
                return;
            known->load = response.value();
            reconcileRunner(id);
        });
}

void runner_controller::reconcileRunner(const std::string &id)
{
    runner_state &state = *findRunner(id);
    const std::optional<lease> held = currentLease();
    if (!held || state.orderInFlight || state.waitingForWeights
        || m_dependencies.tasks.now() < state.nextOrderAt)
        return;
    const bool converged = matches(state.load);
    if (converged)
        state.loading = false;
    const bool checksFencing = m_desired.fencing == configuration::fencing_check::checked;
    if (checksFencing && state.fencedTenure < held->tenure) {
        // Orders the reported state under the new fencing token, so that the engine refuses orders of
        // earlier holders.
        sendOrder(id, state, orderFromLoad(state.load), false);
        return;
    }
    if (converged)
        return;
    if (!needsLoad(state.load)) {
        upstream::engine_order order = orderFromLoad(state.load);
        order.role = m_desired.role;
        sendOrder(id, state, order, false);
        return;
    }
    const bool loadInProgress
        = state.loading && m_dependencies.tasks.now() - state.loadingSince < m_options.loadTimeout;
    if (!state.load.loading || !loadInProgress)
        startLoad(id, state);
}

void runner_controller::startLoad(const std::string &id, runner_state &state)
{
    const bool isServing = state.load.model == m_desired.model && !state.load.loading && !state.loading;
    if (isServing && !canInterruptServing())
        return;
    if (m_weightRequestInFlight || m_dependencies.tasks.now() < m_nextWeightRequestAt)
        return;
    requestWeights(id);
}

void runner_controller::requestWeights(const std::string &id)
{
    m_weightRequestInFlight = true;
    findRunner(id)->waitingForWeights = true;
    std::string name = m_desired.model + '@' + m_desired.modelVersion;
    if (!m_desired.adapter.empty())
        name += '+' + m_desired.adapter;
    m_dependencies.weights.requestDelivery(name, [this, id](const outcome<cloud::weight_delivery> &response) {
        onWeightDelivery(id, response);
    });
}

void runner_controller::onWeightDelivery(const std::string &id,
                                         const outcome<cloud::weight_delivery> &response)
{
    m_weightRequestInFlight = false;
    runner_state *state = findRunner(id);
    if (state)
        state->waitingForWeights = false;
    if (!response) {
        recordResult("weights_" + std::string(name(response.error().code)));
        m_nextWeightRequestAt = m_dependencies.tasks.now() + backoff(2);
        return;
    }
    if (!response.value().granted()) {
        recordResult("weights_limited");
        const double jitter = 1.0 + m_dependencies.randomness.uniform() / 2;
        m_nextWeightRequestAt
            = m_dependencies.tasks.now() + fromSeconds(seconds(response.value().retryAfter) * jitter);
        return;
    }
    // The desired state or the lease may have changed during the call.
    if (!state || !currentLease() || state->orderInFlight || matches(state->load))
        return;
    const bool isServing = state->load.model == m_desired.model && !state->loading;
    if (isServing && !canInterruptServing())
        return;
    upstream::engine_order order = orderFromLoad(state->load);
    order.model = m_desired.model;
    order.modelVersion = m_desired.modelVersion;
    if (!m_desired.adapter.empty())
        order.adapter = m_desired.adapter;
    if (!m_desired.role.empty())
        order.role = m_desired.role;
    sendOrder(id, *state, order, true);
}

void runner_controller::sendOrder(const std::string &id, runner_state &state, upstream::engine_order order,
                                  bool requiresLoad)
{
    const std::optional<lease> held = currentLease();
    if (!held)
        return;
    order.fencingToken = held->fencingToken;
    state.orderInFlight = true;
    if (requiresLoad) {
        state.loading = true;
        state.loadingSince = m_dependencies.tasks.now();
    }
    m_dependencies.engines.order(state.address, order,
                                 [this, id, orderLease = *held, requiresLoad](const outcome<void> &response) {
                                     onOrderCompleted(id, orderLease, requiresLoad, response);
                                 });
}

void runner_controller::onOrderCompleted(const std::string &id, const lease &orderLease, bool requiresLoad,
                                         const outcome<void> &response)
{
    recordResult(response ? "accepted" : std::string(name(response.error().code)));
    runner_state *state = findRunner(id);
    if (state) {
        state->orderInFlight = false;
        state->lastOrderCompletedAt = m_dependencies.tasks.now();
    }
    if (response) {
        if (state) {
            state->failures = 0;
            state->fencedTenure = std::max(state->fencedTenure, orderLease.tenure);
        }
        return;
    }
    if (response.error().code == error_code::refused) {
        m_highestRefusedFencingToken = std::max(m_highestRefusedFencingToken, orderLease.fencingToken);
        log_event(log_level::warning, "order.refused")
            .with("runner", id)
            .with("fencing", static_cast<std::int64_t>(orderLease.fencingToken))
            .write();
    }
    if (!state)
        return;
    // An order without a response may have been applied; the next poll shows whether it was.
    if (requiresLoad && response.error().code == error_code::unavailable)
        state->loading = false;
    state->nextOrderAt = m_dependencies.tasks.now() + backoff(++state->failures);
}

bool runner_controller::needsLoad(const upstream::engine_load &load) const
{
    return load.model != m_desired.model || load.modelVersion != m_desired.modelVersion
        || (!m_desired.adapter.empty() && load.adapter != m_desired.adapter) || load.loading;
}

bool runner_controller::matches(const upstream::engine_load &load) const
{
    return !needsLoad(load) && (m_desired.role.empty() || load.role == m_desired.role);
}

bool runner_controller::canInterruptServing() const
{
    std::size_t notServing = 0;
    for (const auto &[id, state] : m_runners) {
        const bool isServing
            = state.reachable && !state.loading && !state.load.loading && state.load.model == m_desired.model;
        notServing += isServing ? 0 : 1;
    }
    const double bound = std::floor(static_cast<double>(m_runners.size()) * m_options.maxLoadingFraction);
    return notServing < std::max<std::size_t>(1, static_cast<std::size_t>(bound));
}

duration runner_controller::backoff(unsigned failures)
{
    const double maxSeconds
        = std::min(seconds(m_options.maxBackoff),
                   seconds(initial_backoff) * std::exp2(std::min(failures, max_doublings)));
    return fromSeconds(maxSeconds * m_dependencies.randomness.uniform());
}

void runner_controller::recordResult(const std::string &result)
{
    m_dependencies.metrics.add("ivypier_orders_total", {{"service", m_desired.service}, {"result", result}});
}

} // namespace ivypier::placement
