#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ivypier::upstream {

/// What an engine is asked to generate.
struct generation_request
{
    std::string attempt; ///< id of this attempt; the engine repeats it with every event
    std::string body; ///< JSON object: `model`, `messages`, `max_tokens`
    int priority = 0; ///< greater goes first
    std::string delivered; ///< text the caller has already; the engine goes on after it
    std::uint64_t deliveredTokens = 0; ///< number of tokens in `delivered`
    std::string cacheHandle; ///< exported KV cache to start from; empty: none

    auto operator<=>(const generation_request &) const = default;
};

/// What an answer took.
struct token_usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< prompt tokens that came from the engine's prefix cache
    std::uint64_t generatedTokens = 0;

    auto operator<=>(const token_usage &) const = default;
};

/// Receives one attempt's events, as tasks of one scheduler.
class generation_observer
{
public:
    virtual ~generation_observer() = default;

    /// The engine took the attempt. `stream` names it for resume() and exportCache().
    virtual void onStarted(const std::string &stream) = 0;

    /// Token number `index` (0-based over the whole answer).
    virtual void onToken(std::uint64_t index, const std::string &text) = 0;

    /// The answer is whole. The last call.
    virtual void onFinished(const token_usage &usage) = 0;

    /// The attempt failed; `unavailable` means that it did not reach the engine. The last call.
    virtual void onFailed(const error &failure) = 0;
};

/// An attempt that runs; dropping it does not stop it.
class generation
{
public:
    virtual ~generation() = default;

    /// Stops listening and tells the engine to stop the stream. No event follows.
    virtual void cancel() = 0;

    /// Stops listening, and leaves the stream at the engine for another node to resume. No event follows.
    virtual void detach() = 0;
};

/// An engine's own statement of its load; late by the engine's reporting lag.
struct engine_load
{
    double queuedSeconds = 0.0; ///< work taken and not done, in seconds of this engine
    std::uint32_t runningStreams = 0;
    std::uint32_t streamLimit = 0; ///< streams it batches at once
    double prefillTokensPerSecond = 0.0;
    double decodeSecondsPerToken = 0.0;
    bool leaving = false;
    std::string model; ///< the model it serves now
    std::string modelVersion;
    std::string adapter;
    std::string role;
    bool loading = false; ///< it loads what it was ordered and serves nothing
    std::uint32_t waitingStreams = 0; ///< taken and not begun

    auto operator<=>(const engine_load &) const = default;
};

/// A change of an engine's prefix cache. `sequence` grows by one for each event; a missing number is a gap.
struct cache_event
{
    std::uint64_t sequence = 0;
    bool stored = false; ///< false: evicted
    std::string prefix; ///< digest of the prefix, as prefixDigests() gives it
    std::uint64_t tokens = 0;

    auto operator<=>(const cache_event &) const = default;
};

/// The state an engine is ordered to take. Naming the state rather than a step makes the order idempotent.
struct engine_order
{
    std::uint64_t fencing = 0; ///< an engine that checks it refuses a number below one it has seen
    std::string model;
    std::string modelVersion;
    std::string adapter;
    std::string role;

    auto operator<=>(const engine_order &) const = default;
};

/// Model engines, by address. Answers come as tasks of the caller's scheduler.
class model_engine
{
public:
    virtual ~model_engine() = default;

    virtual std::shared_ptr<generation> start(const endpoint &engine, const generation_request &request,
                                              std::shared_ptr<generation_observer> observer)
        = 0;

    /// Takes over a stream that runs at the engine, from token `next` on.
    virtual std::shared_ptr<generation> resume(const endpoint &engine, const std::string &stream,
                                               const std::string &attempt, std::uint64_t next,
                                               std::shared_ptr<generation_observer> observer)
        = 0;

    /// Writes a stream's KV cache where other engines can import it; gives the handle.
    virtual void exportCache(const endpoint &engine, const std::string &stream,
                             std::function<void(outcome<std::string>)> done)
        = 0;

    virtual void readLoad(const endpoint &engine, std::function<void(outcome<engine_load>)> done) = 0;

    /// Cache events with a sequence above `after`, as far as the engine still has them.
    virtual void readCacheEvents(const endpoint &engine, std::uint64_t after,
                                 std::function<void(outcome<std::vector<cache_event>>)> done)
        = 0;

    /// Gives an order; `refused` when the fencing number is old.
    virtual void order(const endpoint &engine, const engine_order &wanted,
                       std::function<void(outcome<void>)> done)
        = 0;
};

} // namespace ivypier::upstream
