#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <vector>

namespace ivypier::relay::tests {

/// A call that runs at a modelled engine.
struct engine_call
{
    std::uint64_t number = 0;
    double unreadTokens = 0.0; ///< of its own part
    std::uint64_t prefix = 0; ///< of the shared part, 0: none
    double sharedTokens = 0.0;
    int tokensLeft = 0;
    bool isSlow = false; ///< takes 2.5 times as long, by chance
    int tokensToEvent = 4;
    bool isChecked = false; ///< whether the shared part is kept was looked up
};

/// An engine with continuous batching and chunked prefill, moved on in steps of its batch.
class uneven_engine
{
public:
    using event_handler = std::function<void(std::uint64_t call, bool isLast)>;

    static constexpr double step_ms = 5.95;
    static constexpr double step_ms_per_call = 0.0445;
    static constexpr double prefill_tokens_per_ms = 50.7;
    static constexpr double chunk_tokens = 512.0;
    static constexpr int tokens_per_event = 4;
    static constexpr std::size_t slots = 12;
    /// Shared parts of 6,300 tokens that fit into 356,974 tokens beside the running calls.
    static constexpr std::size_t kept_prefixes = 40;
    static constexpr double slow_call_factor = 2.5;

    double speed = 1.0;

    void add(engine_call call)
    {
        m_calls.push_back(call);
    }

    /// Runs steps until `now`, and reports the events.
    void advance(double nowMs, random_source &randomness, const event_handler &onEvent)
    {
        while (!m_calls.empty() && m_nextStepMs <= nowMs)
            step(randomness, onEvent);
        m_nextStepMs = std::max(m_nextStepMs, m_calls.empty() ? nowMs : m_nextStepMs);
    }

    /// Returns the time to the first event of a further call, by full knowledge.
    double expectedMs(double ownTokens, std::uint64_t prefix, double shared) const
    {
        double tokens = ownTokens + (keeps(prefix) ? 0.0 : shared);
        double excess = 0.0;
        std::size_t index = 0;
        for (const engine_call &each : m_calls) {
            tokens += each.unreadTokens + (each.isChecked || keeps(each.prefix) ? 0.0 : each.sharedTokens);
            excess += index++ >= slots ? 1.0 : 0.0;
        }
        const double wait = m_calls.size() >= slots ? (excess + 1.0) * 1000.0 / slots : 0.0;
        const double stepTime = step_ms + step_ms_per_call * static_cast<double>(m_calls.size());
        return (wait + tokens / prefill_tokens_per_ms + tokens / chunk_tokens * stepTime
                + tokens_per_event * stepTime)
            / speed;
    }

    bool keeps(std::uint64_t prefix) const
    {
        return prefix == 0 || std::find(m_kept.begin(), m_kept.end(), prefix) != m_kept.end();
    }

    double readTokens() const
    {
        return m_readTokens;
    }
    double rereadTokens() const
    {
        return m_rereadTokens;
    }

private:
    void step(random_source &randomness, const event_handler &onEvent)
    {
        double elapsed = step_ms;
        double chunk = chunk_tokens;
        std::size_t index = 0;
        for (auto each = m_calls.begin(); each != m_calls.end() && index < slots; ++index) {
            elapsed += step_ms_per_call;
            start(*each);
            if (each->unreadTokens > 0.0) {
                const double read = std::min(each->unreadTokens, chunk);
                each->unreadTokens -= read;
                chunk -= read;
                elapsed += read / prefill_tokens_per_ms;
                ++each;
                continue;
            }
            const bool moves = !each->isSlow || randomness.uniform() < 1.0 / slow_call_factor;
            if (moves && --each->tokensToEvent == 0) {
                each->tokensToEvent = tokens_per_event;
                each->tokensLeft -= tokens_per_event;
                m_events.emplace_back(each->number, each->tokensLeft <= 0);
            }
            each = each->tokensLeft <= 0 ? m_calls.erase(each) : std::next(each);
        }
        m_nextStepMs += elapsed / speed;
        for (const auto &[call, isLast] : m_events)
            onEvent(call, isLast);
        m_events.clear();
    }

    void start(engine_call &call)
    {
        if (call.isChecked)
            return;
        call.isChecked = true;
        m_readTokens += call.unreadTokens;
        if (call.prefix == 0)
            return;
        const auto found = std::find(m_kept.begin(), m_kept.end(), call.prefix);
        if (found != m_kept.end())
            m_kept.erase(found);
        else {
            call.unreadTokens += call.sharedTokens;
            m_rereadTokens += call.sharedTokens;
        }
        m_kept.push_front(call.prefix);
        if (m_kept.size() > kept_prefixes)
            m_kept.pop_back();
        if (call.isSlow)
            call.unreadTokens *= slow_call_factor;
    }

    std::list<engine_call> m_calls;
    std::list<std::uint64_t> m_kept; ///< most recently used first
    std::vector<std::pair<std::uint64_t, bool>> m_events;
    double m_nextStepMs = 0.0;
    double m_readTokens = 0.0;
    double m_rereadTokens = 0.0;
};

} // namespace ivypier::relay::tests
