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

/// What a fake engine can do.
struct engine_model
{
    unsigned streamLimit = 16; ///< streams batched at once
    double prefillTokensPerSecond = 4000.0;
    double decodeSecondsPerToken = 0.015; ///< of a stream that runs alone
    double decodeSecondsPerStream = 0.001; ///< more for each stream beside it
    std::uint64_t cacheTokens = 60'000; ///< prompt tokens its prefix cache holds

    auto operator<=>(const engine_model &) const = default;
};

/// One attempt at a fake engine.
struct engine_attempt
{
    std::vector<std::string> prefixes;
    std::vector<std::uint64_t> prefixTokens;
    std::uint64_t outputTokens = 0; ///< still to be generated
    std::uint64_t deliveredTokens = 0; ///< of the answer, to be processed like a prompt
    bool cacheTransferred = false; ///< its KV cache comes along: nothing to process
    int priority = 0;
    std::function<void()> onFirstToken;
    std::function<void(std::uint64_t computed)> onFinished; ///< prompt tokens that were processed
    std::function<void(std::uint64_t generated, std::uint64_t computed)> onFailed;
};

/// A model engine in virtual time, at the interface that the decisions see: it batches streams up to a limit,
/// processes prompts one after another, decodes more slowly the more streams run, keeps a prefix cache, and
/// reports load and cache events. Tokens between the first and the last are not simulated one by one.
class fake_engine
{
public:
    fake_engine(scheduler &tasks, engine_model model);

    void start(engine_attempt attempt);

    /// Fails every attempt that is there.
    void failAll();

    /// Refuses, with a failure after `delay`, whatever comes from now on.
    void setFailing(bool failing);

    upstream::engine_load load() const;

    /// Streams that run or wait.
    std::size_t streams() const;

    /// Cache events up to `before`, with a sequence above `after`.
    std::vector<upstream::cache_event> events(std::uint64_t after, time_point before) const;

    /// Seconds between two tokens of a stream that begins now.
    double decodeInterval() const;

private:
    struct stream
    {
        engine_attempt attempt;
        std::uint64_t computed = 0;
        time_point firstTokenAt{};
        double tokenInterval = 0.0;
        time_point prefilledAt{}; ///< when its prompt is processed
        double estimatedPrefillSeconds = 0.0; ///< as it was expected when it came
        bool firstTokenSent = false;
        bool ended = false;
    };
    using stream_pointer = std::shared_ptr<stream>;

    struct cache_entry
    {
        std::uint64_t totalTokens = 0; ///< tokens up to the end of the prefix
        std::uint64_t ownTokens = 0; ///< tokens beyond the prefix before it
        std::list<std::string>::iterator recencyPosition;
    };

    struct timed_event
    {
        time_point at{};
        upstream::cache_event event;
    };

    void admitWaiting();
    void prefill(const stream_pointer &of);
    void firstToken(const stream_pointer &of);
    void finish(const stream_pointer &of);
    void fail(const stream_pointer &of);
    std::uint64_t cachedTokens(const engine_attempt &of) const;
    void cache(const engine_attempt &of);
    void addEvent(bool stored, const std::string &prefix, std::uint64_t tokens);

    scheduler &m_tasks;
    engine_model m_model;
    bool m_failing = false;
    time_point m_prefillFreeAt{};
    double m_meanStreamSeconds = 0.5;
    std::map<int, std::deque<stream_pointer>, std::greater<>> m_waiting; ///< by priority
    std::size_t m_waitingCount = 0;
    double m_waitingPrefillSeconds = 0.0; ///< prompts of those that wait, as far as they were not cached
    std::list<stream_pointer> m_running;
    std::map<std::string, cache_entry> m_cache;
    std::list<std::string> m_recency; ///< newest first
    std::uint64_t m_cachedTokens = 0;
    std::deque<timed_event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace ivypier::replay
