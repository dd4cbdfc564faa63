#include "relay/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace ivypier::relay {

namespace {

constexpr double steady_half_life_s = 15.0;
constexpr double recent_half_life_s = 0.5;
/// Weight of the prior that an upstream is as fast as the mean of its service.
constexpr double prior_ms = 400.0;
/// Weight of an observation that took longer than usual. The sums thus follow the lower part of what calls
/// take, which shows the speed: the upper part shows what else was read there, and single slow calls (15 in
/// 100 take 2.5 times as long).
constexpr double weight_above_usual = 0.15;
constexpr double usual_margin = 1.1;
/// One observation counts as at most this multiple of the usual in the steady sums.
constexpr double steady_clip = 3.0;
/// Steady differences below this factor are taken for noise: upstreams of equal speed are then told apart by
/// their load only.
constexpr double noise_factor = 1.15;
constexpr double least_slowness = 0.2;
constexpr double most_slowness = 20.0;
/// An upstream is slow for now if its recent calls take this many times longer than usual, over at least
/// `min_recent_ms` (weighted), and the last `min_slow_in_row` observations all took `slow_observation` times
/// as long. A call that takes 2.5 times as long is no reason: with a threshold of 3.5 and two observations,
/// one upstream in seven of equal speed counted as slow.
constexpr double slowdown_threshold = 4.5;
constexpr double min_recent_ms = 40.0;
constexpr int min_slow_in_row = 4;
constexpr double slow_observation = 3.0;
constexpr double recovered_threshold = 1.6;
/// A slow upstream is taken for this much slower, because the first observations say less.
constexpr double assumed_slowdown = 7.0;
/// A slowdown is believed for a while after the last evidence: it halves in this time.
constexpr double held_half_life_s = 1.5;
/// An answer that is awaited for longer than this multiple of the expected time counts as an observation.
constexpr double overdue_factor = 3.0;
/// Steady sums below this are not worth a message.
constexpr double min_shared_ms = 60.0;
constexpr double call_time_weight = 1.0 / 100.0;

double halved(duration elapsed, double halfLife)
{
    return std::exp2(-seconds(elapsed) / halfLife);
}

double inMilliseconds(duration value)
{
    return seconds(value) * 1000.0;
}

double steadySlowness(const speed_sums &sums)
{
    return std::clamp((sums.observed + prior_ms) / (sums.expected + prior_ms), least_slowness, most_slowness);
}

/// Returns how many times longer recent calls took than usual, or 1 if there are too few.
double recentRatio(const speed_sums &recent, double steady)
{
    return recent.observed < min_recent_ms ? 1.0 : recent.observed / std::max(recent.expected * steady, 1.0);
}

} // namespace

upstream_speed::upstream_speed(const clock &time)
    : m_time(time)
{
}

void upstream_speed::setRemote(remote_reader sums)
{
    m_remote = std::move(sums);
}

upstream_speed::entry &upstream_speed::entryOf(const std::string &upstream)
{
    const auto [found, isNew] = m_upstreams.try_emplace(upstream);
    if (isNew)
        found->second.decayedAt = m_time.now();
    return found->second;
}

void upstream_speed::decay(entry &of) const
{
    const duration elapsed = m_time.now() - of.decayedAt;
    if (elapsed <= duration::zero())
        return;
    of.steady = of.steady * halved(elapsed, steady_half_life_s);
    of.recent = of.recent * halved(elapsed, recent_half_life_s);
    of.decayedAt = m_time.now();
}

double upstream_speed::observe(const std::string &upstream, double expected, double observed)
{
    entry &at = entryOf(upstream);
    decay(at);
    const speed_sums others = m_remote ? m_remote(upstream).steady : speed_sums();
    const double usual = expected * steadySlowness(at.steady + others);
    const double weight = observed > usual_margin * usual ? weight_above_usual : 1.0;
    at.steady += speed_sums{expected, std::min(observed, steady_clip * usual)} * weight;
    const bool isSlow = observed > slow_observation * usual;
    // Observations of before the upstream became slow, or fast again, say nothing about its present speed.
    if (isSlow != (at.slowInRow > 0))
        at.recent = {};
    at.recent += speed_sums{expected, observed} * weight;
    at.slowInRow = isSlow ? at.slowInRow + 1 : 0;
    return weight;
}

std::uint64_t upstream_speed::recordSent(const upstream_record &to, std::optional<double> work, double load)
{
    const service_timing &timing = m_services[to.service];
    const double expected = work ? timing.firstEvent.at(*work) : timing.response.at(load);
    const bool hasSlot = load + 1.0 <= to.slots;
    entryOf(to.id).awaited.emplace(++m_lastTicket,
                                   awaited_answer{m_time.now(), expected, work, load, hasSlot});
    return m_lastTicket;
}

void upstream_speed::recordAnswerBegan(const upstream_record &from, std::uint64_t ticket)
{
    const auto sent = entryOf(from.id).awaited.extract(ticket);
    if (sent.empty())
        return;
    const awaited_answer &answered = sent.mapped();
    const double observed = inMilliseconds(m_time.now() - answered.sentAt);
    service_timing &timing = m_services[from.service];
    // What a call waits for a slot says nothing about the speed.
    if (!answered.hasSlot)
        return;
    const double clipped = std::min(observed, steady_clip * answered.expected);
    const bool isUsual = slowdown(from.id) <= 1.0;
    if (answered.work) {
        if (isUsual)
            timing.firstEvent.add(*answered.work, clipped);
        return;
    }
    const double weight = observe(from.id, answered.expected, observed);
    if (isUsual)
        timing.response.add(answered.load, clipped, weight);
}

void upstream_speed::recordUnanswered(const upstream_record &from, std::uint64_t ticket)
{
    const auto found = m_upstreams.find(from.id);
    if (found != m_upstreams.end())
        found->second.awaited.erase(ticket);
}

void upstream_speed::recordEvents(const upstream_record &from, double load, std::uint64_t events,
                                  duration elapsed)
{
    if (events == 0)
        return;
    service_timing &timing = m_services[from.service];
    const double expected = timing.eventGap.at(load);
    const double gap = inMilliseconds(elapsed) / static_cast<double>(events);
    const double weight = observe(from.id, expected * static_cast<double>(events), inMilliseconds(elapsed));
    if (slowdown(from.id) <= 1.0)
        timing.eventGap.add(load, std::min(gap, steady_clip * expected), weight);
}

void upstream_speed::recordEnd(const upstream_record &from, duration elapsed)
{
    double &call = m_services[from.service].call;
    call += call_time_weight * (inMilliseconds(elapsed) - call);
}

speed_sums upstream_speed::recentWithOverdue(const entry &of, double steady) const
{
    speed_sums result = of.recent;
    int count = of.slowInRow;
    for (const auto &[ticket, each] : of.awaited) {
        const double waited = inMilliseconds(m_time.now() - each.sentAt);
        const double usual = each.expected * steady;
        if (each.work || !each.hasSlot || waited < overdue_factor * usual)
            continue;
        result += speed_sums{each.expected, waited} * weight_above_usual;
        ++count;
    }
    return count < min_slow_in_row ? speed_sums() : result;
}

double upstream_speed::slowdown(const std::string &upstream)
{
    const remote_speed remote = m_remote ? m_remote(upstream) : remote_speed();
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() && remote.recent.observed <= 0.0)
        return 1.0;
    entry &of = found == m_upstreams.end() ? entryOf(upstream) : found->second;
    decay(of);
    const double steady = steadySlowness(of.steady + remote.steady);
    const double own = recentRatio(recentWithOverdue(of, steady), steady);
    const double ratio = std::max(own, recentRatio(remote.recent, steady));
    const time_point now = m_time.now();
    double held = of.heldSlowdown > 1.0
        ? std::max(of.heldSlowdown * halved(now - of.heldAt, held_half_life_s), 1.0)
        : 1.0;
    const bool isRecovered
        = of.recent.observed >= min_recent_ms && of.slowInRow == 0 && ratio < recovered_threshold;
    if (isRecovered)
        held = 1.0;
    if (ratio >= slowdown_threshold)
        held = assumed_slowdown;
    of.heldSlowdown = held;
    of.heldAt = now;
    return held;
}

double upstream_speed::slowness(const std::string &upstream, bool isTrial)
{
    speed_sums steady = m_remote ? m_remote(upstream).steady : speed_sums();
    if (const auto found = m_upstreams.find(upstream); found != m_upstreams.end()) {
        decay(found->second);
        steady += found->second.steady;
    }
    double usual = steadySlowness(steady);
    if (usual < noise_factor && usual > 1.0 / noise_factor)
        usual = 1.0;
    return isTrial ? usual : usual * slowdown(upstream);
}

remote_speed upstream_speed::ownSums(const std::string &upstream) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return {};
    entry now = found->second;
    decay(now);
    remote_speed result;
    if (now.steady.expected >= min_shared_ms)
        result.steady = now.steady;
    const remote_speed remote = m_remote ? m_remote(upstream) : remote_speed();
    const double steady = steadySlowness(now.steady + remote.steady);
    const speed_sums recent = recentWithOverdue(now, steady);
    if (recentRatio(recent, steady) >= slowdown_threshold)
        result.recent = recent;
    return result;
}

std::vector<std::string> upstream_speed::known() const
{
    std::vector<std::string> result;
    for (const auto &[id, each] : m_upstreams)
        result.push_back(id);
    return result;
}

void upstream_speed::forgetIdle()
{
    std::erase_if(m_upstreams, [&](const auto &each) {
        return each.second.awaited.empty() && m_time.now() - each.second.decayedAt > retention;
    });
}

} // namespace ivypier::relay
