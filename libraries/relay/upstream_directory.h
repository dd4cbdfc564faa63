#pragma once

#include "base/clock.h"
#include "base/endpoint.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// One run of one upstream, as the platform lists it.
struct upstream_record
{
    std::string id; ///< names this run; a restart is another one
    std::string service;
    endpoint address;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< calls that it works on at once
    bool draining = false; ///< leaves soon and takes nothing new
    bool reclaimable = false; ///< may be taken back with its whole failure domain
    duration remainingWarmUp{}; ///< how much longer it is slow after its start, at the time of the record

    auto operator<=>(const upstream_record &) const = default;
};

/// Unread prompt tokens that weigh as much as one call under way. The engines of the users' pages read them
/// in 40 to 47 ms, the time of about eight steps for all calls that make tokens.
inline constexpr double tokens_per_call = 2000.0;

/// An upstream with what this node knows of it by its own calls.
struct upstream
{
    upstream_record record;
    std::uint32_t running = 0; ///< calls of this node that are under way
    std::uint64_t pendingPrefillTokens = 0; ///< of their prompts that it still has to read
    std::uint32_t consecutiveFailures = 0;
    time_point ejectedUntil{};

    /// What this node's calls ask of it, as a number of ordinary calls.
    double load() const
    {
        return running + static_cast<double>(pendingPrefillTokens) / tokens_per_call;
    }

    bool isEjected(time_point now) const
    {
        return now < ejectedUntil;
    }
};

/// The upstreams that are known, by id.
class upstream_directory
{
public:
    explicit upstream_directory(const clock &time);

    /// Takes in a new or changed record.
    void put(const upstream_record &record);

    /// The platform lists it no more: it may serve for a while, and gets nothing new.
    void remove(const std::string &id);

    /// Replaces all records by a new list.
    void replaceAll(const std::vector<upstream_record> &records);

    /// The upstream, also when it is draining; nothing once it was removed.
    const upstream *find(const std::string &id) const;

    /// Upstreams of a service that take new calls, those set aside included.
    std::vector<const upstream *> ready(const std::string &service) const;

    /// Every upstream that is listed.
    std::vector<const upstream *> all() const;

    /// A call begins at an upstream, which has so many tokens to read before its first event.
    void recordCallStart(const std::string &id, std::uint64_t pendingPrefillTokens);

    /// The upstream has read the prompt of a call.
    void recordPrefill(const std::string &id, std::uint64_t tokens);

    /// A call ends, of which so many tokens were not read.
    void recordCallEnd(const std::string &id, std::uint64_t pendingPrefillTokens);

    /// An upstream answered as it should.
    void succeeded(const std::string &id);

    /// An upstream failed: after a few failures in a row it is set aside for a time that grows.
    void failed(const std::string &id);

    /// Calls `observer` when an upstream no longer takes new calls.
    void onUnavailable(std::function<void(const upstream_record &)> observer);

private:
    const clock &m_time;
    std::map<std::string, upstream> m_upstreams;
    std::vector<std::function<void(const upstream_record &)>> m_unavailableObservers;
};

/// Failures in a row after which an upstream is set aside.
inline constexpr std::uint32_t ejection_failure_threshold = 3;

/// How long it is set aside the first time; twice as long each further time, up to the most.
inline constexpr duration min_ejection_time = std::chrono::milliseconds(800);
inline constexpr duration max_ejection_time = std::chrono::seconds(6);

} // namespace ivypier::relay
