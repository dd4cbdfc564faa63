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

void fake_engine::prefill(const stream_pointer &started)
{
    const engine_attempt &attempt = started->attempt;
    const std::uint64_t prompt = attempt.prefixTokens.back();
    if (!attempt.cacheTransferred)
        started->computed = prompt - cachedTokens(attempt) + attempt.deliveredTokens;
    const time_point begin = std::max(m_prefillFreeAt, m_tasks.now());
    m_prefillFreeAt
        = begin + fromSeconds(static_cast<double>(started->computed) / m_model.prefillTokensPerSecond);
    started->prefilledAt = m_prefillFreeAt;
    cache(attempt);
    started->tokenInterval = decodeInterval();
    m_tasks.after(m_prefillFreeAt - m_tasks.now() + fromSeconds(started->tokenInterval),
                  [this, started] { firstToken(started); });
}

void fake_engine::firstToken(const stream_pointer &started)
{
    if (started->ended)
        return;
    started->firstTokenSent = true;
    started->firstTokenAt = m_tasks.now();
    started->attempt.onFirstToken();
    const auto left = static_cast<double>(std::max<std::uint64_t>(started->attempt.outputTokens, 1) - 1);
    m_tasks.after(fromSeconds(started->tokenInterval * left), [this, started] { finish(started); });
}

void fake_engine::finish(const stream_pointer &started)
{
    if (std::exchange(started->ended, true))
        return;
    m_running.remove(started);
    m_meanStreamSeconds
        += ewma_weight * (seconds(m_tasks.now() - started->firstTokenAt) - m_meanStreamSeconds);
    started->attempt.onFinished(started->computed);
    admitWaiting();
}

void fake_engine::fail(const stream_pointer &started)
{
    if (std::exchange(started->ended, true))
        return;
    std::uint64_t generated = 0;
    const double left
        = std::max(0.0, seconds(started->prefilledAt - m_tasks.now())) * m_model.prefillTokensPerSecond;
    const auto processed
        = static_cast<std::uint64_t>(std::max(0.0, static_cast<double>(started->computed) - left));
    if (started->firstTokenSent)
        generated = 1
            + static_cast<std::uint64_t>(seconds(m_tasks.now() - started->firstTokenAt)
                                         / started->tokenInterval);
    started->attempt.onFailed(std::min(generated, started->attempt.outputTokens), processed);
}

std::uint64_t fake_engine::cachedTokens(const engine_attempt &attempt) const
{
    std::uint64_t cached = 0;
    for (const std::string &prefix : attempt.prefixes) {
        const auto found = m_cache.find(prefix);
        if (found == m_cache.end())
            break;
        cached = found->second.totalTokens;
    }
    return cached;
}

/// Caches every prefix of a prompt. The longest becomes the least recently used of them, so that it is
/// evicted before the shorter prefixes that it extends.
void fake_engine::cache(const engine_attempt &attempt)
{
    for (std::size_t index = attempt.prefixes.size(); index-- > 0;) {
        const std::string &prefix = attempt.prefixes[index];
        const auto found = m_cache.find(prefix);
        if (found != m_cache.end()) {
            m_recency.splice(m_recency.begin(), m_recency, found->second.recencyPosition);
            continue;
        }
        m_recency.push_front(prefix);
        const std::uint64_t ownTokens
            = attempt.prefixTokens[index] - (index > 0 ? attempt.prefixTokens[index - 1] : 0);
        m_cache[prefix] = {attempt.prefixTokens[index], ownTokens, m_recency.begin()};
        m_cachedTokens += ownTokens;
        addEvent(true, prefix, attempt.prefixTokens[index]);
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
