#include "placement/order_keeper.h"

#include "base/log_event.h"

#include <algorithm>
#include <cmath>

namespace ivypier::placement {

namespace {

constexpr duration first_backoff = std::chrono::seconds(1);
constexpr unsigned most_doublings = 16;

upstream::engine_order orderOf(const upstream::engine_load &state)
{
    return {0, state.model, state.modelVersion, state.adapter, state.role};
}

} // namespace

order_keeper::order_keeper(const parts &given, order_options options)
    : m_parts(given)
    , m_options(options)
{
}

void order_keeper::setWanted(wanted_state wanted, const std::vector<runner> &runners)
{
    std::map<std::string, runner_state> kept;
    for (const runner &each : runners) {
        const auto known = m_runners.find(each.id);
        if (known != m_runners.end() && known->second.address == each.address)
            kept[each.id] = std::move(known->second);
        kept[each.id].address = each.address;
    }
    m_runners = std::move(kept);
    m_wanted = std::move(wanted);
}

void order_keeper::start()
{
    turn();
}

std::size_t order_keeper::rightCount() const
{
    return static_cast<std::size_t>(std::count_if(m_runners.begin(), m_runners.end(),
                                                  [&](const auto &each) { return isRight(each.second); }));
}

bool order_keeper::isRight(const runner_state &state) const
{
    return state.reachable && !state.loading && matches(state.load);
}

order_keeper::runner_state *order_keeper::find(const std::string &id)
{
    const auto found = m_runners.find(id);
    return found == m_runners.end() ? nullptr : &found->second;
}

std::optional<lease> order_keeper::permission() const
{
    std::optional<lease> held = m_parts.permission.held();
    if (held && held->fencing <= m_refusedFencing)
        held.reset(); // an engine has an order of a later holder
    return held;
}

void order_keeper::turn()
{
    const double jitter = 0.5 + m_parts.randomness.uniform();
    m_parts.tasks.after(fromSeconds(seconds(m_options.interval) * jitter), [this] { turn(); });
    if (!permission())
        return;
    lookInTurn(m_lastWrong, m_options.mostLooksAtWrongPerSecond, false);
    lookInTurn(m_lastRight, m_options.mostLooksPerSecond, true);
    m_parts.metrics.set("ivypier_runners_wanted", {{"service", m_wanted.service}},
                        static_cast<double>(m_runners.size()));
    m_parts.metrics.set("ivypier_runners_right", {{"service", m_wanted.service}},
                        static_cast<double>(rightCount()));
}

bool order_keeper::isFenced(const runner_state &state) const
{
    const std::optional<lease> held = permission();
    return m_wanted.fencing == configuration::fencing_check::ignored
        || (held && state.fencedTenure >= held->tenure);
}

void order_keeper::lookInTurn(std::string &last, double mostPerSecond, bool right)
{
    auto left = static_cast<std::size_t>(std::max(1.0, mostPerSecond * seconds(m_options.interval)));
    auto next = m_runners.upper_bound(last);
    for (std::size_t passed = 0; passed < m_runners.size() && left > 0; ++passed, ++next) {
        if (next == m_runners.end())
            next = m_runners.begin();
        auto &[id, state] = *next;
        if (state.reading || (isRight(state) && isFenced(state)) != right)
            continue;
        last = id;
        --left;
        look(id, state);
    }
}

void order_keeper::look(const std::string &id, runner_state &state)
{
    state.reading = true;
    const time_point startedAt = m_parts.tasks.now();
    m_parts.engines.readLoad(
        state.address, [this, id, startedAt](const outcome<upstream::engine_load> &answer) {
            runner_state *known = find(id);
            if (!known)
                return;
            known->reading = false;
            known->reachable = answer.has_value();
            if (!answer || startedAt < known->orderedAt) // it may show the state before the order
                return;
            known->load = answer.value();
            compare(id);
        });
}

void order_keeper::compare(const std::string &id)
{
    runner_state &state = *find(id);
    const std::optional<lease> held = permission();
    if (!held || state.ordering || state.waitingForWeights || m_parts.tasks.now() < state.notBefore)
        return;
    const bool right = matches(state.load);
    if (right)
        state.loading = false;
    const bool checks = m_wanted.fencing == configuration::fencing_check::checked;
    if (checks && state.fencedTenure < held->tenure) {
        // What it has now, under the new number: from here on it refuses what an earlier holder still sends.
        order(id, state, orderOf(state.load), false);
        return;
    }
    if (right)
        return;
    if (!needsLoad(state.load)) {
        upstream::engine_order wanted = orderOf(state.load);
        wanted.role = m_wanted.role;
        order(id, state, wanted, false);
        return;
    }
    const bool underWay = state.loading && m_parts.tasks.now() - state.loadingSince < m_options.loadLimit;
    if (!state.load.loading || !underWay)
        load(id, state);
}

void order_keeper::load(const std::string &id, runner_state &state)
{
    const bool serves = state.load.model == m_wanted.model && !state.load.loading && !state.loading;
    if (serves && !mayStopServing())
        return;
    if (m_weightsAsked || m_parts.tasks.now() < m_weightsNotBefore)
        return;
    askForWeights(id);
}

void order_keeper::askForWeights(const std::string &id)
{
    m_weightsAsked = true;
    find(id)->waitingForWeights = true;
    std::string name = m_wanted.model + '@' + m_wanted.modelVersion;
    if (!m_wanted.adapter.empty())
        name += '+' + m_wanted.adapter;
    m_parts.weights.requestDelivery(
        name, [this, id](const outcome<cloud::weight_delivery> &answer) { onDelivery(id, answer); });
}

void order_keeper::onDelivery(const std::string &id, const outcome<cloud::weight_delivery> &answer)
{
    m_weightsAsked = false;
    runner_state *state = find(id);
    if (state)
        state->waitingForWeights = false;
    if (!answer) {
        count("weights_" + std::string(name(answer.error().code)));
        m_weightsNotBefore = m_parts.tasks.now() + backoff(2);
        return;
    }
    if (!answer.value().granted()) {
        count("weights_limited");
        const double jitter = 1.0 + m_parts.randomness.uniform() / 2;
        m_weightsNotBefore = m_parts.tasks.now() + fromSeconds(seconds(answer.value().retryAfter) * jitter);
        return;
    }
    // The configuration or the duty may have changed while the store was asked.
    if (!state || !permission() || state->ordering || matches(state->load))
        return;
    const bool serves = state->load.model == m_wanted.model && !state->loading;
    if (serves && !mayStopServing())
        return;
    upstream::engine_order wanted = orderOf(state->load);
    wanted.model = m_wanted.model;
    wanted.modelVersion = m_wanted.modelVersion;
    if (!m_wanted.adapter.empty())
        wanted.adapter = m_wanted.adapter;
    if (!m_wanted.role.empty())
        wanted.role = m_wanted.role;
    order(id, *state, wanted, true);
}

void order_keeper::order(const std::string &id, runner_state &state, upstream::engine_order wanted,
                         bool loads)
{
    const std::optional<lease> held = permission();
    if (!held)
        return;
    wanted.fencing = held->fencing;
    state.ordering = true;
    if (loads) {
        state.loading = true;
        state.loadingSince = m_parts.tasks.now();
    }
    m_parts.engines.order(state.address, wanted,
                          [this, id, under = *held, loads](const outcome<void> &answer) {
                              onOrdered(id, under, loads, answer);
                          });
}

void order_keeper::onOrdered(const std::string &id, const lease &under, bool loads,
                             const outcome<void> &answer)
{
    count(answer ? "accepted" : std::string(name(answer.error().code)));
    runner_state *state = find(id);
    if (state) {
        state->ordering = false;
        state->orderedAt = m_parts.tasks.now();
    }
    if (answer) {
        if (state) {
            state->failures = 0;
            state->fencedTenure = std::max(state->fencedTenure, under.tenure);
        }
        return;
    }
    if (answer.error().code == error_code::refused) {
        m_refusedFencing = std::max(m_refusedFencing, under.fencing);
        log_event(log_level::warning, "order.refused")
            .with("runner", id)
            .with("fencing", static_cast<std::int64_t>(under.fencing))
            .write();
    }
    if (!state)
        return;
    // An order without an answer may have taken effect; the next look says.
    if (loads && answer.error().code == error_code::unavailable)
        state->loading = false;
    state->notBefore = m_parts.tasks.now() + backoff(++state->failures);
}

bool order_keeper::needsLoad(const upstream::engine_load &load) const
{
    return load.model != m_wanted.model || load.modelVersion != m_wanted.modelVersion
        || (!m_wanted.adapter.empty() && load.adapter != m_wanted.adapter) || load.loading;
}

bool order_keeper::matches(const upstream::engine_load &load) const
{
    return !needsLoad(load) && (m_wanted.role.empty() || load.role == m_wanted.role);
}

bool order_keeper::mayStopServing() const
{
    std::size_t without = 0;
    for (const auto &[id, state] : m_runners) {
        const bool serves
            = state.reachable && !state.loading && !state.load.loading && state.load.model == m_wanted.model;
        without += serves ? 0 : 1;
    }
    const double bound = std::floor(static_cast<double>(m_runners.size()) * m_options.mostLoading);
    return without < std::max<std::size_t>(1, static_cast<std::size_t>(bound));
}

duration order_keeper::backoff(unsigned failures)
{
    const double most = std::min(seconds(m_options.longestBackoff),
                                 seconds(first_backoff) * std::exp2(std::min(failures, most_doublings)));
    return fromSeconds(most * m_parts.randomness.uniform());
}

void order_keeper::count(const std::string &result)
{
    m_parts.metrics.add("ivypier_orders_total", {{"service", m_wanted.service}, {"result", result}});
}

} // namespace ivypier::placement
