#include "routing/expected_time_router.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace ivypier::routing {

namespace {

/// Weight of the newest observation in the exponential moving average of a service's stream times.
constexpr double ewma_weight = 0.05;

/// Step in seconds by which one observation adjusts a service's margin.
constexpr double margin_step = 0.005;

/// Fraction of the first tokens that may exceed the estimate plus margin.
constexpr double late_fraction = 0.03;

/// Time constant of the margin's exponential decay without new observations.
constexpr duration margin_decay_time = std::chrono::seconds(20);

/// Streams added to numerator and denominator of the growth of this node's work, so that small counts don't
/// make the ratio jump.
constexpr double growth_smoothing = 4.0;

/// Bounds of that growth.
constexpr double min_growth = 0.5;
constexpr double max_growth = 2.0;

/// The home of a prefix is chosen if its expected time exceeds the best other one by at most this.
constexpr double home_preference_seconds = 0.005;

} // namespace

expected_time_router::expected_time_router(const clock &time, random_source &randomness,
                                           expected_time_settings settings)
    : m_time(time)
    , m_random(randomness)
    , m_settings(std::move(settings))
{
}

void expected_time_router::setCandidates(std::vector<candidate> all)
{
    std::sort(all.begin(), all.end());
    std::map<endpoint, state_pointer> kept;
    for (auto &[name, service] : m_services) {
        service.all.clear();
        service.polled.clear();
    }
    for (const candidate &each : all) {
        const auto found = m_upstreams.find(each.address);
        state_pointer state = found != m_upstreams.end() ? found->second : std::make_shared<upstream_state>();
        state->target = each;
        if (!kept.emplace(each.address, state).second)
            continue; // duplicate address: the first by name wins
        m_services[each.service].all.push_back(std::move(state));
    }
    m_upstreams = std::move(kept);
    // An address that is no longer listed may be reused by another VM.
    std::erase_if(m_leaving, [this](const endpoint &each) { return !m_upstreams.contains(each); });
    for (auto &[name, service] : m_services)
        selectPolled(service);
}

void expected_time_router::markLeaving(const endpoint &upstream)
{
    m_leaving.insert(upstream);
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        selectPolled(m_services[found->second->target.service]);
}

void expected_time_router::markReplaced(const endpoint &upstream)
{
    m_leaving.erase(upstream);
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        selectPolled(m_services[found->second->target.service]);
}

outcome<routing_choice> expected_time_router::choose(const routing_request &request)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return error{error_code::unavailable, "no upstream of " + request.service + " is known"};
    service_state &service = found->second;
    updateFleetWork(service);
    std::optional<first_token_estimate> best;
    if (const state_pointer probeTarget = findProbeTarget(service, request))
        best = estimateFirstToken(service, probeTarget, request);
    else {
        const state_pointer preferred = home(service, request);
        const auto adjustedSeconds = [&](const first_token_estimate &estimated) {
            return estimated.target == preferred ? estimated.seconds - home_preference_seconds
                                                 : estimated.seconds;
        };
        for (const state_pointer &each : selectCandidates(service, request, preferred)) {
            const first_token_estimate expected = estimateFirstToken(service, each, request);
            if (!best || adjustedSeconds(expected) < adjustedSeconds(*best))
                best = expected;
        }
    }
    if (!best)
        return error{error_code::unavailable, "no upstream of " + request.service + " is fit"};
    return routing_choice{best->target->target, fromSeconds(best->seconds + margin(service)),
                          best->cachedTokens, fromSeconds(best->unloadedSeconds),
                          fromSeconds(margin(service))};
}

void expected_time_router::dispatched(const endpoint &upstream, const std::string &attempt,
                                      const routing_request &request)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    upstream_state &state = *found->second;
    service_state &service = m_services[request.service];
    const double expected = estimateFirstToken(service, found->second, request).seconds;
    const service_speed speed = state.load.speed(service.speed);
    const std::uint64_t cached = m_settings.usePrefixes ? state.prefixes.cachedTokens(request) : 0;
    const double prefill = static_cast<double>(request.promptTokens - cached) / speed.prefillTokensPerSecond;
    const time_point now = m_time.now();
    state.load.dispatched(attempt, prefill, now);
    state.prefixes.sent(request, now);
    m_attempts[attempt] = {.target = found->second,
                           .service = request.service,
                           .isProbe = state.health.dispatched(),
                           .expectedSeconds = expected,
                           .sentAt = now};
}

void expected_time_router::firstToken(const std::string &attempt, duration)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    const time_point now = m_time.now();
    in_flight_attempt &sent = found->second;
    sent.begun = true;
    sent.firstTokenAt = now;
    sent.target->load.firstToken(attempt, now);
    sent.target->health.succeeded();
    updateMargin(m_services[sent.service], seconds(now - sent.sentAt) - sent.expectedSeconds);
}

void expected_time_router::finished(const std::string &attempt, attempt_result result)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    const in_flight_attempt sent = std::move(found->second);
    m_attempts.erase(found);
    const time_point now = m_time.now();
    sent.target->load.finished(attempt, now);
    if (result == attempt_result::failed) {
        sent.target->health.failed(sent.isProbe, now, m_random);
        return;
    }
    if (result == attempt_result::cancelled) {
        if (sent.isProbe)
            sent.target->health.probeCancelled();
        return;
    }
    sent.target->health.succeeded();
    // A plain service has no first token; the whole time counts as stream time.
    updateStreamTime(m_services[sent.service], seconds(now - (sent.begun ? sent.firstTokenAt : sent.sentAt)));
}

void expected_time_router::loadReported(const endpoint &upstream, const upstream::engine_load &load)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    upstream_state &state = *found->second;
    const bool leavingChanged = load.leaving != (state.load.lastReport() && state.load.lastReport()->leaving);
    state.load.reported(load, m_settings.reportLag, m_time.now());
    state.pollPending = false;
    service_state &service = m_services[state.target.service];
    service.speed
        = {.prefillTokensPerSecond = load.prefillTokensPerSecond > 0.0 ? load.prefillTokensPerSecond
                                                                       : service.speed.prefillTokensPerSecond,
           .decodeSecondsPerToken = load.decodeSecondsPerToken > 0.0 ? load.decodeSecondsPerToken
                                                                     : service.speed.decodeSecondsPerToken,
           .streamSeconds = service.speed.streamSeconds,
           .streamLimit = load.streamLimit > 0 ? load.streamLimit : service.speed.streamLimit};
    if (leavingChanged)
        selectPolled(service);
}

void expected_time_router::cacheReported(const endpoint &upstream,
                                         const std::vector<upstream::cache_event> &events)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        found->second->prefixes.apply(events, m_time.now());
}

std::vector<endpoint> expected_time_router::upstreamsToPoll(std::size_t limit)
{
    std::vector<state_pointer> wanted;
    for (const auto &[name, service] : m_services) {
        for (const state_pointer &each : service.polled) {
            if (each->target.reportsLoad && isPollDue(*each))
                wanted.push_back(each);
        }
    }
    const auto oldestFirst = [](const state_pointer &left, const state_pointer &right) {
        return std::max(left->load.reportedAt(), left->polledAt)
            < std::max(right->load.reportedAt(), right->polledAt);
    };
    std::stable_sort(wanted.begin(), wanted.end(), oldestFirst);
    wanted.resize(std::min(wanted.size(), limit));
    std::vector<endpoint> result;
    for (const state_pointer &each : wanted) {
        each->pollPending = true;
        each->polledAt = m_time.now();
        result.push_back(each->target.address);
    }
    return result;
}

void expected_time_router::updateStreamTime(service_state &service, double elapsed)
{
    double &mean = service.speed.streamSeconds;
    mean += (service.streamSecondsKnown ? ewma_weight : 1.0) * (elapsed - mean);
    service.streamSecondsKnown = true;
}

/// Adjusts the margin so that three in a hundred first tokens exceed the estimate by more than it. `lateness`
/// is in seconds.
void expected_time_router::updateMargin(service_state &service, double lateness) const
{
    const bool late = lateness > margin(service);
    service.margin
        = std::max(0.0, margin(service) + margin_step * (late ? 1.0 - late_fraction : -late_fraction));
    service.marginUpdatedAt = m_time.now();
}

/// Returns the margin in seconds. It decays over time: when it is so large that admission refuses every
/// request, no observation would lower it.
double expected_time_router::margin(const service_state &service) const
{
    const double age = seconds(m_time.now() - service.marginUpdatedAt);
    return service.margin * std::exp(-age / seconds(margin_decay_time));
}

/// Aggregates the reports of the polled upstreams. Assumes that the other nodes' work has grown since the
/// reports by the same factor as this node's own.
void expected_time_router::updateFleetWork(service_state &service) const
{
    upstream_work ownWork;
    upstream_work ownWorkAtReport;
    upstream_work others;
    double streamSlots = 0.0;
    for (const state_pointer &each : service.polled) {
        if (!each->load.lastReport())
            continue;
        ownWork.streams += each->load.ownWork().streams;
        ownWorkAtReport.streams += each->load.ownWorkAtReport().streams;
        others.streams += each->load.othersWorkAtReport().streams;
        others.prefillSeconds += each->load.othersWorkAtReport().prefillSeconds;
        streamSlots += each->load.speed(service.speed).streamLimit;
    }
    if (streamSlots <= 0.0)
        return;
    service.fleet.others = {others.streams / streamSlots, others.prefillSeconds / streamSlots};
    service.fleet.growth
        = std::clamp((ownWork.streams + growth_smoothing) / (ownWorkAtReport.streams + growth_smoothing),
                     min_growth, max_growth);
}

/// Selects the upstreams that this node polls for load, by rendezvous hash, so that every upstream is polled
/// by about the same number of nodes.
void expected_time_router::selectPolled(service_state &service) const
{
    service.polled.clear();
    for (const state_pointer &each : service.all) {
        if (!isLeaving(*each))
            service.polled.push_back(each);
    }
    if (service.polled.size() <= m_settings.polledLimit)
        return;
    std::vector<std::pair<std::uint64_t, state_pointer>> weighted;
    for (const state_pointer &each : service.polled)
        weighted.emplace_back(rendezvousWeight(m_settings.node, each->target.address.text()), each);
    std::sort(weighted.begin(), weighted.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    service.polled.clear();
    for (std::size_t index = 0; index < m_settings.polledLimit; ++index)
        service.polled.push_back(weighted[index].second);
}

bool expected_time_router::isLeaving(const upstream_state &state) const
{
    const auto &report = state.load.lastReport();
    return m_leaving.contains(state.target.address) || (report && report->leaving);
}

bool expected_time_router::isEligible(const upstream_state &state, const routing_request &request) const
{
    const auto &excluded = request.excluded;
    return state.health.isEligible() && !isLeaving(state)
        && std::find(excluded.begin(), excluded.end(), state.target.address) == excluded.end();
}

std::vector<expected_time_router::state_pointer>
expected_time_router::eligibleUpstreams(const service_state &service, const routing_request &request) const
{
    std::vector<state_pointer> result;
    for (const state_pointer &each : service.polled) {
        if (isEligible(*each, request))
            result.push_back(each);
    }
    if (!result.empty())
        return result;
    // None of the polled upstreams is eligible: fall back to all upstreams of the service.
    for (const state_pointer &each : service.all) {
        if (isEligible(*each, request))
            result.push_back(each);
    }
    return result;
}

/// Returns the ejected upstream of the service that this request should probe, or null if none is due or a
/// probe is in flight.
expected_time_router::state_pointer
expected_time_router::findProbeTarget(const service_state &service, const routing_request &request) const
{
    state_pointer due;
    const auto &excluded = request.excluded;
    for (const state_pointer &each : service.polled) {
        if (each->health.isEligible())
            continue;
        if (each->health.isProbing())
            return nullptr;
        if (std::find(excluded.begin(), excluded.end(), each->target.address) != excluded.end())
            continue;
        if (!due && each->health.isDueForProbe(m_time.now()) && !isLeaving(*each))
            due = each;
    }
    return due;
}

/// Returns the home of the request's conversation or, without one, of its first message: the eligible
/// upstream with the highest rendezvous weight. The weights are the same on every node. Null if the request
/// has neither.
expected_time_router::state_pointer expected_time_router::home(const service_state &service,
                                                               const routing_request &request) const
{
    if (!m_settings.usePrefixes || (request.conversation.empty() && request.prefixes.empty()))
        return nullptr;
    const std::string key = request.conversation.empty() ? request.prefixes.front()
                                                         : request.account + '/' + request.conversation;
    state_pointer best;
    std::uint64_t bestWeight = 0;
    for (const state_pointer &each : service.all) {
        const std::uint64_t weight = rendezvousWeight(key, each->target.name);
        if (isEligible(*each, request) && (!best || weight > bestWeight)) {
            best = each;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<expected_time_router::state_pointer>
expected_time_router::selectCandidates(const service_state &service, const routing_request &request,
                                       const state_pointer &preferred)
{
    std::vector<state_pointer> eligible = eligibleUpstreams(service, request);
    std::vector<state_pointer> chosen;
    if (preferred)
        chosen.push_back(preferred);
    if (m_settings.usePrefixes && !request.prefixes.empty()) {
        const auto holder = std::max_element(
            eligible.begin(), eligible.end(), [&](const state_pointer &left, const state_pointer &right) {
                return left->prefixes.cachedTokens(request) < right->prefixes.cachedTokens(request);
            });
        if (holder != eligible.end() && (*holder)->prefixes.cachedTokens(request) > 0)
            chosen.push_back(*holder);
    }
    const std::size_t draws = std::min(m_settings.sampledCandidates, eligible.size());
    for (std::size_t drawn = 0; drawn < draws; ++drawn) {
        std::swap(eligible[drawn], eligible[drawn + m_random.index(eligible.size() - drawn)]);
        chosen.push_back(eligible[drawn]);
    }
    return chosen;
}

expected_time_router::first_token_estimate
expected_time_router::estimateFirstToken(const service_state &service, const state_pointer &state,
                                         const routing_request &request) const
{
    const service_speed speed = state->load.speed(service.speed);
    first_token_estimate result{.target = state};
    result.cachedTokens = m_settings.usePrefixes ? state->prefixes.cachedTokens(request) : 0;
    const bool plain = request.promptTokens == 0;
    const auto uncached = static_cast<double>(request.promptTokens - result.cachedTokens);
    if (!plain)
        result.unloadedSeconds = uncached / speed.prefillTokensPerSecond + speed.decodeSecondsPerToken;
    else if (service.streamSecondsKnown)
        result.unloadedSeconds = speed.streamSeconds;
    if (state->target.failureDomain != m_settings.failureDomain)
        result.unloadedSeconds += seconds(m_settings.crossDomainLatency);
    result.seconds
        = result.unloadedSeconds + state->load.waitSeconds(service.speed, service.fleet, m_time.now());
    return result;
}

bool expected_time_router::isPollDue(const upstream_state &state) const
{
    const time_point lastContact = std::max(state.load.reportedAt(), state.polledAt);
    const bool neverPolled = !state.pollPending && !state.load.lastReport();
    return neverPolled || m_time.now() - lastContact >= m_settings.reportInterval;
}

} // namespace ivypier::routing
