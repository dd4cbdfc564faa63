#pragma once

#include "base/scheduler.h"
#include "http/server.h"

#include <json/value.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivypier::standins {

/// Capacity and behaviour of the engine.
struct engine_options
{
    std::string name;
    std::string model;
    unsigned streamLimit = 8; ///< streams decoded concurrently
    double prefillTokensPerSecond = 4000.0;
    double decodeSecondsPerToken = 0.02; ///< between two tokens of one stream
    std::size_t cacheTokens = 20000; ///< capacity of the prefix cache, in prompt tokens
    bool checksFencing = true; ///< refuses orders with a fencing token below the highest one seen
    double loadSeconds = 0.0; ///< time to load another model, version or adapter
};

/// Faults that a test injects through /control/faults.
struct engine_faults
{
    int refuse = 0; ///< number of attempts to refuse with 503
    std::int64_t disconnectAfterTokens = -1; ///< disconnects every stream after this many tokens; -1: never
    bool frozen = false; ///< streams generate no tokens
    bool misdeliverEvents = false; ///< sends the events of every stream with the id of another attempt
};

/// Simulates a model engine with batching, a prefix cache, and streams that can be resumed and cancelled. The
/// generated text depends only on the messages, so that it can be compared byte by byte with that of an
/// undisturbed run. Must only be used from tasks of its scheduler.
class engine_state
{
public:
    using responder_pointer = std::shared_ptr<http::responder>;

    engine_state(scheduler &tasks, engine_options options);

    /// Handles one request; the response may be sent later.
    void handle(const http::request &incoming, const responder_pointer &caller);

private:
    struct stream
    {
        std::string id;
        std::string attempt;
        int priority = 0;
        std::vector<std::string> tokens; ///< the complete answer
        std::uint64_t produced = 0; ///< tokens generated so far
        std::uint64_t sent = 0; ///< tokens sent to the reader so far
        std::uint64_t promptTokens = 0;
        std::uint64_t cachedTokens = 0;
        responder_pointer reader;
        bool cancelled = false;
    };
    using stream_pointer = std::shared_ptr<stream>;

    void start(const http::request &incoming, const responder_pointer &caller);
    void resume(const http::request &incoming, const std::string &id, const responder_pointer &caller);
    void order(const http::request &incoming, const responder_pointer &caller);
    void applyOrder(const Json::Value &requested);
    void control(const http::request &incoming, const responder_pointer &caller);
    void admitWaiting();
    void prefill(const stream_pointer &target);
    void decode(const stream_pointer &target);
    void sendTokens(const stream_pointer &target);
    void finishStream(const stream_pointer &target);
    std::uint64_t cachedTokens(const std::string &prompt, std::uint64_t promptTokens);
    Json::Value load() const;
    void recordEvent(const std::string &event, const stream &target);

    scheduler &m_tasks;
    engine_options m_options;
    engine_faults m_faults;
    std::uint64_t m_nextStreamNumber = 1;
    std::uint64_t m_highestFencingToken = 0;
    std::string m_modelVersion = "1";
    std::string m_adapter;
    std::string m_role;
    std::uint64_t m_loadGeneration = 0; ///< incremented by each load; detects that a load was superseded
    bool m_loading = false;
    bool m_leaving = false;
    unsigned m_runningStreams = 0;
    time_point m_prefillFreeAt{};
    std::deque<stream_pointer> m_waitingStreams;
    std::map<std::string, stream_pointer> m_streams;
    std::list<std::pair<std::string, std::uint64_t>> m_cache; ///< prompts, token counts; newest first
    Json::Value m_cacheEvents{Json::arrayValue};
    Json::Value m_record{Json::arrayValue};
};

} // namespace ivypier::standins
