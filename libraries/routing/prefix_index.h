#pragma once

#include "base/clock.h"
#include "routing/router.h"
#include "upstream/model_engine.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace ivypier::routing {

/// Estimates the contents of one engine's prefix cache from the prompts that this node sent there and from
/// the engine's cache events, which may arrive late or be missing.
class prefix_index
{
public:
    /// Maximum number of prefixes; the least recently used one is dropped first.
    static constexpr std::size_t max_entries = 4096;

    /// An eviction event is ignored for a prefix that was sent within this time before the event arrived,
    /// because the event may be older than the request.
    static constexpr duration max_event_lag = std::chrono::seconds(3);

    /// Records that a request was sent to the engine, which caches its prompt.
    void sent(const routing_request &request, time_point now);

    /// Applies cache events of the engine, ordered by sequence number. Every missing event may have been an
    /// eviction, and engines evict the least recently used prefix: for each one, the least recently used
    /// prefix of the index is dropped. If the sequence numbers restart, the whole index is dropped.
    void apply(const std::vector<upstream::cache_event> &events, time_point now);

    /// Returns how many of the request's prompt tokens the engine probably has cached.
    std::uint64_t cachedTokens(const routing_request &request) const;

    std::size_t size() const;

private:
    struct entry
    {
        std::uint64_t tokens = 0;
        time_point sentAt{};
        std::list<std::string>::iterator usePosition;
    };

    void dropAll();
    void dropLeastRecent(std::uint64_t count);
    void store(const std::string &prefix, std::uint64_t tokens, time_point sentAt);
    void evict(const std::string &prefix, time_point now);

    std::uint64_t m_lastSequence = 0;
    std::unordered_map<std::string, entry> m_entries;
    std::list<std::string> m_recency; ///< most recently used first
};

} // namespace ivypier::routing
