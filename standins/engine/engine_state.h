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

/// What the engine can do.
struct engine_options
{
    std::string name;
    std::string model;
    unsigned streamLimit = 8; ///< streams that it batches at once
    double prefillTokensPerSecond = 4000.0;
    double decodeSecondsPerToken = 0.02; ///< between two tokens of one stream
    std::size_t cacheTokens = 20000; ///< prompt tokens that the prefix cache holds
    bool checksFencing = true;
    double loadSeconds = 0.0; ///< to load another model, version or adapter
};

/// Faults that a test switches on.
struct engine_faults
{
    int refuse = 0; ///< attempts to refuse with 503
    std::int64_t disconnectAfterTokens
        = -1; ///< breaks every stream's connection after this many tokens; -1: never
    bool frozen = false; ///< streams make no progress
    bool misdeliverEvents = false; ///< sends the events of every stream under another attempt's id
};

/// A small stand-in for a model engine that batches, caches prefixes, resumes and cancels streams. The text
/// depends on the messages alone, so that an undisturbed run can be compared byte by byte. Only from tasks
/// of its scheduler.
class engine_state
{
public:
    using responder_pointer = std::shared_ptr<http::responder>;

    engine_state(scheduler &tasks, engine_options options);

    /// Answers one request.
    void handle(const http::request &incoming, const responder_pointer &caller);

private:
    struct stream
    {
        std::string id;
        std::string attempt;
        int priority = 0;
        std::vector<std::string> tokens; ///< the whole answer
        std::uint64_t produced = 0; ///< tokens that exist
        std::uint64_t sent = 0; ///< tokens that went to the reader
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
    std::uint64_t m_loadGeneration = 0; ///< tells a load that another order overtook
    bool m_loading = false;
    bool m_draining = false;
    unsigned m_runningStreams = 0;
    time_point m_prefillFreeAt{};
    std::deque<stream_pointer> m_waitingStreams;
    std::map<std::string, stream_pointer> m_streams;
    std::list<std::pair<std::string, std::uint64_t>> m_cache; ///< prompts and tokens, newest first
    Json::Value m_cacheEvents{Json::arrayValue};
    Json::Value m_record{Json::arrayValue};
};

} // namespace ivypier::standins
