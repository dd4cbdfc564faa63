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

/// Request to an engine to generate an answer.
struct generation_request
{
    std::string attempt; ///< id of this attempt; the engine includes it in every event
    std::string body; ///< JSON object: `model`, `messages`, `max_tokens`
    int priority = 0; ///< higher values are served first
    std::string delivered; ///< text the caller already has; the engine continues after it
    std::uint64_t deliveredTokens = 0; ///< number of tokens in `delivered`
    std::string cacheHandle; ///< exported KV cache to start from; empty for none

    auto operator<=>(const generation_request &) const = default;
};

/// Token counts of one answer.
struct token_usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< prompt tokens served from the engine's prefix cache
    std::uint64_t generatedTokens = 0;

    auto operator<=>(const token_usage &) const = default;
};

/// Receives the events of one attempt. All calls run as tasks of one scheduler.
class generation_observer
{
public:
    virtual ~generation_observer() = default;

    /// Called when the engine accepted the attempt. `stream` identifies it for resume() and exportCache().
    virtual void onStarted(const std::string &stream) = 0;

    /// Called for each token. `index` is 0-based and counts over the whole answer.
    virtual void onToken(std::uint64_t index, const std::string &text) = 0;

    /// Called when the answer is complete. No call follows.
    virtual void onFinished(const token_usage &usage) = 0;

    /// Called when the attempt failed. `unavailable` means that it did not reach the engine. No call follows.
    virtual void onFailed(const error &failure) = 0;
};

/// Handle of a running attempt. Destroying it does not stop the attempt.
class generation
{
public:
    virtual ~generation() = default;

    /// Unsubscribes the observer and requests the engine to stop the stream. No event follows.
    virtual void cancel() = 0;

    /// Unsubscribes the observer and leaves the stream running at the engine, so that another node can resume
    /// it. No event follows.
    virtual void detach() = 0;
};

/// Load reported by an engine, delayed by the engine's reporting lag.
struct engine_load
{
    double queuedSeconds = 0.0; ///< accepted but unfinished work, as processing time of this engine
    std::uint32_t runningStreams = 0;
    std::uint32_t streamLimit = 0; ///< maximum number of streams in one batch
    double prefillTokensPerSecond = 0.0;
    double decodeSecondsPerToken = 0.0;
    bool leaving = false;
    std::string model; ///< the model being served
    std::string modelVersion;
    std::string adapter;
    std::string role;
    bool loading = false; ///< the ordered model is loading; nothing is served meanwhile
    std::uint32_t waitingStreams = 0; ///< accepted but not started

    auto operator<=>(const engine_load &) const = default;
};

/// A change of an engine's prefix cache. `sequence` increases by one per event; a missing number means that
/// events were lost.
struct cache_event
{
    std::uint64_t sequence = 0;
    bool stored = false; ///< false: evicted
    std::string prefix; ///< digest of the prefix, as returned by prefixDigests()
    std::uint64_t tokens = 0;

    auto operator<=>(const cache_event &) const = default;
};

/// Desired state of an engine. An order is idempotent because it names the state rather than a transition.
struct engine_order
{
    std::uint64_t fencingToken = 0; ///< an engine that checks it refuses one lower than it has seen
    std::string model;
    std::string modelVersion;
    std::string adapter;
    std::string role;

    auto operator<=>(const engine_order &) const = default;
};

/// Client for model engines, by address. Completions run as tasks of the caller's scheduler.
class model_engine
{
public:
    virtual ~model_engine() = default;

    virtual std::shared_ptr<generation> start(const endpoint &engine, const generation_request &request,
                                              std::shared_ptr<generation_observer> observer)
        = 0;

    /// Takes over a stream running at the engine, starting with token `next`.
    virtual std::shared_ptr<generation> resume(const endpoint &engine, const std::string &stream,
                                               const std::string &attempt, std::uint64_t next,
                                               std::shared_ptr<generation_observer> observer)
        = 0;

    /// Exports a stream's KV cache so that other engines can import it. Completes with the cache handle.
    virtual void exportCache(const endpoint &engine, const std::string &stream,
                             std::function<void(outcome<std::string>)> done)
        = 0;

    virtual void readLoad(const endpoint &engine, std::function<void(outcome<engine_load>)> done) = 0;

    /// Reads the cache events with a sequence above `after` that the engine still retains.
    virtual void readCacheEvents(const endpoint &engine, std::uint64_t after,
                                 std::function<void(outcome<std::vector<cache_event>>)> done)
        = 0;

    /// Sends an order. Fails with `refused` when its fencing token is outdated.
    virtual void order(const endpoint &engine, const engine_order &wanted,
                       std::function<void(outcome<void>)> done)
        = 0;
};

} // namespace ivypier::upstream
