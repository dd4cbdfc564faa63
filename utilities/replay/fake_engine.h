#pragma once

#include "base/scheduler.h"
#include "upstream/model_engine.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivypier::replay {

/// Performance parameters of a fake engine.
struct engine_model
{
    unsigned streamLimit = 16; ///< streams in one batch
    double prefillTokensPerSecond = 4000.0;
    double decodeSecondsPerToken = 0.015; ///< base time per token, before the streams' share is added
    double decodeSecondsPerStream = 0.001; ///< added for each running stream
    std::uint64_t cacheTokens = 60'000; ///< capacity of the prefix cache, in prompt tokens

    auto operator<=>(const engine_model &) const = default;
};

/// One attempt sent to a fake engine.
struct engine_attempt
{
    std::vector<std::string> prefixes;
    std::vector<std::uint64_t> prefixTokens;
    std::uint64_t outputTokens = 0; ///< still to be generated
    std::uint64_t deliveredTokens = 0; ///< answer tokens already delivered, processed like a prompt
    bool cacheTransferred = false; ///< the KV cache was transferred, so nothing needs processing
    int priority = 0;
    std::function<void()> onFirstToken;
    std::function<void(std::uint64_t computed)> onFinished; ///< with the tokens processed in prefill
    std::function<void(std::uint64_t generated, std::uint64_t computed)> onFailed;
};

/// Simulates a model engine in virtual time, as the policies observe it: it batches streams up to a limit,
/// processes prompts one after another, decodes more slowly the more streams run, keeps a prefix cache, and
/// reports load and cache events. Tokens after the first are not simulated one by one.
class fake_engine
{
public:
    fake_engine(scheduler &tasks, engine_model model);

    void start(engine_attempt attempt);

    /// Fails every waiting and running attempt.
    void failAll();

    /// Sets whether new attempts fail after a short delay instead of being processed.
    void setFailing(bool failing);

    upstream::engine_load load() const;

    /// Returns the number of running and waiting streams.
    std::size_t streams() const;

    /// Returns the cache events up to the time `before` with a sequence number above `after`.
    std::vector<upstream::cache_event> events(std::uint64_t after, time_point before) const;

    /// Returns the seconds between two tokens of a stream that begins decoding now.
    double decodeInterval() const;

private:
    struct stream
    {
        engine_attempt attempt;
        std::uint64_t computed = 0;
        time_point firstTokenAt{};
        double tokenInterval = 0.0;
        time_point prefilledAt{}; ///< when prefill completes
        double estimatedPrefillSeconds = 0.0; ///< prefill time estimated from the cache on arrival
        bool firstTokenSent = false;
        bool ended = false;
    };
    using stream_pointer = std::shared_ptr<stream>;

    struct cache_entry
    {
        std::uint64_t totalTokens = 0; ///< tokens up to the end of this prefix
        std::uint64_t ownTokens = 0; ///< tokens that it adds to the next shorter prefix
        std::list<std::string>::iterator recencyPosition;
    };

    struct timed_event
    {
        time_point at{};
        upstream::cache_event event;
    };

    void admitWaiting();
    void prefill(const stream_pointer &started);
    void firstToken(const stream_pointer &started);
    void finish(const stream_pointer &started);
    void fail(const stream_pointer &started);
    std::uint64_t cachedTokens(const engine_attempt &attempt) const;
    void cache(const engine_attempt &attempt);
    void addEvent(bool stored, const std::string &prefix, std::uint64_t tokens);

    scheduler &m_tasks;
    engine_model m_model;
    bool m_failing = false;
    time_point m_prefillFreeAt{};
    double m_meanStreamSeconds = 0.5;
    std::map<int, std::deque<stream_pointer>, std::greater<>> m_waiting; ///< by priority, highest first
    std::size_t m_waitingCount = 0;
    double m_waitingPrefillSeconds = 0.0; ///< sum of the waiting streams' estimated prefill times
    std::list<stream_pointer> m_running;
    std::map<std::string, cache_entry> m_cache;
    std::list<std::string> m_recency; ///< most recently used first
    std::uint64_t m_cachedTokens = 0;
    std::deque<timed_event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace ivypier::replay
