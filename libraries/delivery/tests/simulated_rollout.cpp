#include "simulated_rollout.h"

#include <algorithm>
#include <numbers>

namespace ivypier::delivery::tests {

using namespace std::chrono_literals;

namespace {

const std::string service = "a";
const std::string target = "v2";
constexpr std::array<double, 3> route_parts{0.39, 0.27, 0.34};
constexpr double usual_failures = 0.01;
constexpr double usual_gaps = 0.02;
constexpr double slow_noise_part = 0.15;
constexpr double slow_noise_factor = 2.5;

} // namespace

simulated_rollout::simulated_rollout(const rollout_case &wanted)
    : m_case(wanted)
    , m_random(wanted.seed * 7919 + wanted.nodes * 31 + static_cast<std::uint64_t>(wanted.bad) * 101
               + static_cast<std::uint64_t>(wanted.disturbed) * 1009)
    , m_order{service, target, wanted.length, 7, {}}
    , m_nodes(wanted.nodes)
    , m_holders(2)
{
    const double length = seconds(m_case.length);
    m_badPortion = 0.3 + 0.7 * m_random.uniform();
    m_badFrom = m_case.bad == badness::later ? length * (0.25 + 0.3 * m_random.uniform()) : 0.0;
    m_badRate = m_case.callsPerSecond * (0.1 + 0.5 * m_random.uniform());
    m_slowFactor = m_case.bad == badness::slow ? 4.0 + 4.0 * m_random.uniform() : 1.0;
    m_disturbedAt = length * (0.25 + 0.45 * m_random.uniform());
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        startNode(index);
    for (std::size_t index = 0; index < m_holders.size(); ++index) {
        holder &each = m_holders[index];
        each.table = std::make_unique<placement::tests::fake_table_client>(m_time, m_store);
        each.statusTable = std::make_unique<fake_status_table>(*each.table);
        each.controller = std::make_unique<rollout_controller>(
            m_time, *each.table, *each.statusTable,
            [this](const rollout_status &status) { announce(status); });
        each.controller->setOrders({m_order});
        each.received.resize(m_nodes.size());
    }
    m_holders[0].token = 1;
}

double simulated_rollout::lognormal(double median, double sigma)
{
    const double first = std::max(m_random.uniform(), 1e-12);
    const double angle = 2.0 * std::numbers::pi * m_random.uniform();
    return median * std::exp(sigma * std::sqrt(-2.0 * std::log(first)) * std::cos(angle));
}

void simulated_rollout::at(duration after, std::function<void()> action)
{
    m_events.push({m_time.now() + after, ++m_eventCount, std::move(action)});
}

void simulated_rollout::startNode(std::size_t index)
{
    node &each = m_nodes[index];
    each.gate = std::make_unique<rollout_gate>(m_time, m_random);
    each.gate->setOrders({m_order});
    each.evidence = {};
    each.knowsRollback = false;
    ++each.incarnation;
    const std::uint64_t incarnation = each.incarnation;
    at(fromSeconds(seconds(m_case.lateness) * m_random.uniform()),
       [this, index, incarnation] { scheduleReport(index, incarnation); });
}

void simulated_rollout::scheduleReport(std::size_t index, std::uint64_t incarnation)
{
    if (m_nodes[index].incarnation != incarnation)
        return;
    // Reports are sent every `lateness` and travel for half of it on average, so their mean age is
    // `lateness`.
    if (!m_nodes[index].isPartitioned) {
        at(fromSeconds(seconds(m_case.lateness) * m_random.uniform()),
           [this, index, incarnation, evidence = m_nodes[index].evidence] {
               if (m_nodes[index].incarnation != incarnation)
                   return;
               for (holder &each : m_holders) {
                   if (each.token != 0)
                       each.received[index] = evidence;
               }
           });
    }
    at(m_case.lateness, [this, index, incarnation] { scheduleReport(index, incarnation); });
}

void simulated_rollout::announce(const rollout_status &status)
{
    if (status.state == rollout_state::rolled_back && m_result.state == rollout_state::in_progress) {
        m_result.state = status.state;
        m_result.endedAt = elapsed();
    }
    const time_point statedAt = m_time.now();
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        at(fromSeconds(seconds(m_case.statementSpread) * m_random.uniform()),
           [this, index, status, statedAt] {
               node &each = m_nodes[index];
               if (each.isPartitioned)
                   return;
               each.gate->setStatus(status, statedAt);
               each.knowsRollback = each.knowsRollback || status.state == rollout_state::rolled_back;
           });
    }
    for (holder &each : m_holders)
        each.controller->noteStatus(status);
}

void simulated_rollout::poll()
{
    m_runningHistory.push_back(m_running);
    if (m_runningHistory.size() > static_cast<std::size_t>(m_case.lateness / 100ms) + 1)
        m_runningHistory.pop_front();
    for (holder &each : m_holders) {
        if (each.token == 0)
            continue;
        rollout_input input;
        input.fencingToken = each.token;
        input.evidence = each.ended;
        for (const version_evidence &received : each.received)
            input.evidence.add(received);
        input.evidenceAge = m_case.lateness;
        input.upstreams[service]
            = {elapsed() > boot_seconds ? 8u : 0u, m_isOldStopped ? 0u : 8u, m_runningHistory.front()};
        each.controller->poll(input);
    }
    noteEnd();
}

void simulated_rollout::noteEnd()
{
    const auto row = m_store.find("status/" + service);
    if (!row || m_result.state == rollout_state::rolled_back)
        return;
    if (fake_status_table::decode(*row).state == rollout_state::completed
        && m_result.state != rollout_state::completed) {
        m_result.state = rollout_state::completed;
        m_result.endedAt = elapsed();
        m_result.brokenStreams = m_running;
        m_isOldStopped = true;
    }
}

bool simulated_rollout::isBadCall(std::size_t route)
{
    switch (m_case.bad) {
    case badness::good:
        return false;
    case badness::on_one_route:
        if (route != 1)
            return false;
        break;
    case badness::under_load:
        if (m_targetRate < m_badRate)
            return false;
        break;
    default:
        break;
    }
    return elapsed() >= m_badFrom && m_random.uniform() < m_badPortion;
}

void simulated_rollout::call(std::size_t index, std::size_t route)
{
    node &caller = m_nodes[index];
    const std::uint64_t incarnation = caller.incarnation;
    const version_filter filter = caller.gate->admit(service);
    const bool isTarget = elapsed() > boot_seconds && filter.only.contains(target);
    const bool isCounted = elapsed() <= seconds(m_case.length) && !caller.isPartitioned;
    m_result.calls += isCounted ? 1 : 0;
    if (isTarget) {
        m_result.exposed += isCounted ? 1 : 0;
        m_lastTargetCall = elapsed();
        m_targetRate += 1.0 / 0.3;
        if (caller.knowsRollback)
            ++m_result.callsAfterRollback;
        if (m_fiftiethAt >= 0.0 && elapsed() > m_fiftiethAt + 5.0)
            ++m_result.callsAfterBound;
    } else {
        ++m_running;
    }
    const evidence_key key{service, filter.orderVersion,
                           isTarget ? version_class::target : version_class::other,
                           "r" + std::to_string(route)};
    const bool isEvidence = filter.orderVersion != 0;
    if (isEvidence)
        caller.evidence.recordStart(key);
    const bool isBad = isTarget && isBadCall(route);
    const bool fails = m_random.uniform() < usual_failures + m_commonFailures
        || (isBad && (m_case.bad != badness::slow && m_case.bad != badness::gaps));
    double first = lognormal(0.12, 0.4) * (m_random.uniform() < slow_noise_part ? slow_noise_factor : 1.0);
    first *= m_commonFailures > 0.0 ? 1.5 : 1.0;
    if (isBad && m_case.bad == badness::slow)
        first *= m_slowFactor;
    if (isBad && m_case.bad == badness::without_answer)
        first = 10.0;
    const double rest = fails ? 0.0 : std::clamp(lognormal(0.9, 0.5), 0.3, 3.0);
    const bool hasGap = !fails && (m_random.uniform() < usual_gaps || (isBad && m_case.bad == badness::gaps));
    const auto isAlive = [this, index, incarnation] { return m_nodes[index].incarnation == incarnation; };
    at(fromSeconds(first), [this, index, key, isEvidence, isBad, isTarget, fails, first, isAlive] {
        if (isBad && ++m_badResponses == 50)
            m_fiftiethAt = elapsed();
        if (!isAlive())
            return;
        node &each = m_nodes[index];
        if (isEvidence && fails)
            each.evidence.recordFailure(key, false);
        else if (isEvidence)
            each.evidence.recordFirstEvent(key, fromSeconds(first));
        if (isTarget)
            each.gate->recordAnswer(service, target, fails);
    });
    if (hasGap)
        at(fromSeconds(first + rest / 2.0), [this, index, key, isEvidence, isAlive] {
            if (isAlive() && isEvidence)
                m_nodes[index].evidence.recordGap(key);
        });
    if (!isTarget)
        at(fromSeconds(first + rest), [this] { --m_running; });
}

void simulated_rollout::arrive(double rate)
{
    // Calls arrive in clumps of three on one route.
    const double clumps = rate * seconds(step) / 3.0;
    std::size_t count = 0;
    for (double left = -std::log(std::max(m_random.uniform(), 1e-300)); left < clumps;
         left -= std::log(std::max(m_random.uniform(), 1e-300)))
        ++count;
    for (std::size_t clump = 0; clump < count; ++clump) {
        const double sample = m_random.uniform();
        const std::size_t route = sample < route_parts[0] ? 0
            : sample < route_parts[0] + route_parts[1]    ? 1
                                                          : 2;
        for (int each = 0; each < 3; ++each)
            call(m_random.index(m_nodes.size()), route);
    }
}

void simulated_rollout::disturb()
{
    switch (m_case.disturbed) {
    case disturbance::nodes_killed:
        for (std::size_t index = 0; index < m_nodes.size(); index += 8) {
            for (holder &each : m_holders) {
                each.ended.add(each.received[index]);
                each.received[index] = {};
            }
            startNode(index);
        }
        break;
    case disturbance::domain_lost:
        m_commonFailures = 0.33;
        at(800ms, [this] { m_commonFailures = 0.0; });
        break;
    case disturbance::burst:
        m_commonFailures = 0.1;
        at(1500ms, [this] { m_commonFailures = 0.0; });
        break;
    case disturbance::holder_killed:
        m_holders[0].token = 0;
        at(2500ms, [this] { m_holders[1].token = 2; });
        break;
    case disturbance::store_silent:
        m_store.faults.lostRequest = 1.0;
        at(9s, [this] { m_store.faults.lostRequest = 0.0; });
        break;
    case disturbance::third_partitioned:
        for (std::size_t index = 0; index < m_nodes.size(); index += 3)
            m_nodes[index].isPartitioned = true;
        at(4s, [this] {
            for (node &each : m_nodes)
                each.isPartitioned = false;
        });
        break;
    case disturbance::none:
        break;
    }
}

rollout_result simulated_rollout::run()
{
    // An outage of the store that covers the deadline leaves no way to complete in time.
    if (m_case.disturbed == disturbance::store_silent)
        m_disturbedAt = std::min(m_disturbedAt, seconds(m_case.length) - 10.5);
    bool isDisturbed = false;
    std::size_t steps = 0;
    const double end = seconds(m_case.length) + 6.0;
    while (elapsed() < end) {
        if (!isDisturbed && elapsed() >= m_disturbedAt) {
            isDisturbed = true;
            disturb();
        }
        const bool isBurst = m_case.disturbed == disturbance::burst && m_commonFailures > 0.0;
        arrive(m_case.callsPerSecond * (isBurst ? 2.6 : 1.0));
        if (steps++ % 5 == 0)
            poll();
        m_time.advance(step);
        while (!m_events.empty() && m_events.top().at <= m_time.now()) {
            const std::function<void()> action = m_events.top().action;
            m_events.pop();
            action();
        }
        m_targetRate *= std::exp(-seconds(step) / 0.3);
    }
    for (const holder &each : m_holders) {
        if (each.token != 0 && !each.controller->views().empty())
            m_result.reason = each.controller->views()[0].reason;
    }
    m_result.isInTime = m_result.endedAt <= seconds(m_case.length);
    m_result.exposureBound = 0.1 * static_cast<double>(m_result.calls) + 50.0;
    if (m_fiftiethAt >= 0.0)
        m_result.rollbackSeconds = std::max(0.0, m_lastTargetCall - m_fiftiethAt);
    return m_result;
}

} // namespace ivypier::delivery::tests
