#include "fake_engine.h"

#include <algorithm>
#include <utility>

namespace ivypier::replay {

namespace {

constexpr std::size_t max_events = 4096;
constexpr duration failure_delay = std::chrono::milliseconds(2);
constexpr double ewma_weight = 0.05;

} // namespace

fake_engine::fake_engine(scheduler &tasks, engine_model model)
    : m_tasks(tasks)
    , m_model(model)
{
}

void fake_engine::start(engine_attempt attempt)
{
    if (m_failing) {
        m_tasks.after(failure_delay, [failed = std::move(attempt.onFailed)] { failed(0, 0); });
        return;
    }
    auto created = std::make_shared<stream>();
    created->attempt = std::move(attempt);
    const engine_attempt &waiting = created->attempt;
    created->estimatedPrefillSeconds
        = static_cast<double>(waiting.prefixTokens.back() - cachedTokens(waiting))
        / m_model.prefillTokensPerSecond;
    ++m_waitingCount;
    m_waitingPrefillSeconds += created->estimatedPrefillSeconds;
    m_waiting[waiting.priority].push_back(std::move(created));
    admitWaiting();
}

void fake_engine::failAll()
{
    const auto waiting = std::exchange(m_waiting, {});
    const std::list<stream_pointer> running = std::exchange(m_running, {});
    m_prefillFreeAt = m_tasks.now();
    m_waitingCount = 0;
    m_waitingPrefillSeconds = 0.0;
    for (const auto &[priority, streams] : waiting) {
        for (const stream_pointer &each : streams)
            fail(each);
    }
    for (const stream_pointer &each : running)
        fail(each);
}

void fake_engine::setFailing(bool failing)
{
    m_failing = failing;
}

upstream::engine_load fake_engine::load() const
{
    const double slotWaitSeconds
        = static_cast<double>(m_waitingCount) * m_meanStreamSeconds / m_model.streamLimit;
    const double queued = std::max(0.0, seconds(m_prefillFreeAt - m_tasks.now()))
        + std::max(m_waitingPrefillSeconds, slotWaitSeconds);
    upstream::engine_load result;
    result.queuedSeconds = queued;
    result.runningStreams = static_cast<std::uint32_t>(m_running.size());
    result.waitingStreams = static_cast<std::uint32_t>(m_waitingCount);
    result.streamLimit = m_model.streamLimit;
    result.prefillTokensPerSecond = m_model.prefillTokensPerSecond;
    result.decodeSecondsPerToken = decodeInterval();
    return result;
}

std::size_t fake_engine::streams() const
{
    return m_waitingCount + m_running.size();
}

std::vector<upstream::cache_event> fake_engine::events(std::uint64_t after, time_point before) const
{
    std::vector<upstream::cache_event> result;
    for (const timed_event &each : m_events) {
        if (each.event.sequence > after && each.at <= before)
            result.push_back(each.event);
    }
    return result;
}

double fake_engine::decodeInterval() const
{
    return m_model.decodeSecondsPerToken
        + m_model.decodeSecondsPerStream * static_cast<double>(m_running.size());
}

void fake_engine::admitWaiting()
{
    while (m_running.size() < m_model.streamLimit && m_waitingCount > 0) {
        auto first = m_waiting.begin();
        const stream_pointer chosen = first->second.front();
        first->second.pop_front();
        if (first->second.empty())
            m_waiting.erase(first);
        --m_waitingCount;
        m_waitingPrefillSeconds -= chosen->estimatedPrefillSeconds;
        m_running.push_back(chosen);
        prefill(chosen);
    }
}

void fake_engine::prefill(const stream_pointer &of)
{
    const engine_attempt &attempt = of->attempt;
    const std::uint64_t prompt = attempt.prefixTokens.back();
    if (!attempt.cacheTransferred)
        of->computed = prompt - cachedTokens(attempt) + attempt.deliveredTokens;
    const time_point begin = std::max(m_prefillFreeAt, m_tasks.now());
    m_prefillFreeAt = begin + fromSeconds(static_cast<double>(of->computed) / m_model.prefillTokensPerSecond);
    of->prefilledAt = m_prefillFreeAt;
    cache(attempt);
    of->tokenInterval = decodeInterval();
    m_tasks.after(m_prefillFreeAt - m_tasks.now() + fromSeconds(of->tokenInterval),
                  [this, of] { firstToken(of); });
}

void fake_engine::firstToken(const stream_pointer &of)
{
    if (of->ended)
        return;
    of->firstTokenSent = true;
    of->firstTokenAt = m_tasks.now();
    of->attempt.onFirstToken();
    const auto left = static_cast<double>(std::max<std::uint64_t>(of->attempt.outputTokens, 1) - 1);
    m_tasks.after(fromSeconds(of->tokenInterval * left), [this, of] { finish(of); });
}

void fake_engine::finish(const stream_pointer &of)
{
    if (std::exchange(of->ended, true))
        return;
    m_running.remove(of);
    m_meanStreamSeconds += ewma_weight * (seconds(m_tasks.now() - of->firstTokenAt) - m_meanStreamSeconds);
    of->attempt.onFinished(of->computed);
    admitWaiting();
}

void fake_engine::fail(const stream_pointer &of)
{
    if (std::exchange(of->ended, true))
        return;
    std::uint64_t generated = 0;
    const double left
        = std::max(0.0, seconds(of->prefilledAt - m_tasks.now())) * m_model.prefillTokensPerSecond;
    const auto processed
        = static_cast<std::uint64_t>(std::max(0.0, static_cast<double>(of->computed) - left));
    if (of->firstTokenSent)
        generated
            = 1 + static_cast<std::uint64_t>(seconds(m_tasks.now() - of->firstTokenAt) / of->tokenInterval);
    of->attempt.onFailed(std::min(generated, of->attempt.outputTokens), processed);
}

std::uint64_t fake_engine::cachedTokens(const engine_attempt &of) const
{
    std::uint64_t cached = 0;
    for (const std::string &prefix : of.prefixes) {
        const auto found = m_cache.find(prefix);
        if (found == m_cache.end())
            break;
        cached = found->second.totalTokens;
    }
    return cached;
}

/// Stores every prefix of a prompt; the longest counts as used least lately, so that it goes first.
void fake_engine::cache(const engine_attempt &of)
{
    for (std::size_t index = of.prefixes.size(); index-- > 0;) {
        const std::string &prefix = of.prefixes[index];
        const auto found = m_cache.find(prefix);
        if (found != m_cache.end()) {
            m_recency.splice(m_recency.begin(), m_recency, found->second.recencyPosition);
            continue;
        }
        m_recency.push_front(prefix);
        const std::uint64_t ownTokens = of.prefixTokens[index] - (index > 0 ? of.prefixTokens[index - 1] : 0);
        m_cache[prefix] = {of.prefixTokens[index], ownTokens, m_recency.begin()};
        m_cachedTokens += ownTokens;
        addEvent(true, prefix, of.prefixTokens[index]);
    }
    while (m_cachedTokens > m_model.cacheTokens && !m_recency.empty()) {
        const auto oldest = m_cache.find(m_recency.back());
        m_cachedTokens -= oldest->second.ownTokens;
        addEvent(false, oldest->first, oldest->second.totalTokens);
        m_cache.erase(oldest);
        m_recency.pop_back();
    }
}

void fake_engine::addEvent(bool stored, const std::string &prefix, std::uint64_t tokens)
{
    m_events.push_back({m_tasks.now(), {++m_sequence, stored, prefix, tokens}});
    if (m_events.size() > max_events)
        m_events.pop_front();
}

} // namespace ivypier::replay
