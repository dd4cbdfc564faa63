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

/// What one engine's prefix cache is believed to hold: the prompts that this node sent there, corrected by
/// the engine's cache events. Events may be late and may have gaps.
class prefix_index
{
public:
    /// Most prefixes remembered; the one unused for longest goes first.
    static constexpr std::size_t max_entries = 4096;

    /// An eviction does not take back a prefix that was sent again within this time: the event is older.
    static constexpr duration max_event_lag = std::chrono::seconds(3);

    /// A request went to the engine, which caches its prompt.
    void sent(const routing_request &request, time_point now);

    /// The engine published events, in the order of their sequence. Each event that is missing may have been
    /// an eviction, and engines evict what is unused for longest: as many of the prefixes known are dropped,
    /// those unused for longest. All are dropped when the numbers start anew.
    void apply(const std::vector<upstream::cache_event> &events, time_point now);

    /// The request's prompt tokens that the cache is believed to hold.
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
    std::list<std::string> m_recency; ///< newest first
};

} // namespace ivypier::routing
