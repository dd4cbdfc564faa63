#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "relay/upstream_statement.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// An incarnation of an upstream, as listed by the platform.
struct upstream_record
{
    std::string id; ///< identifies this incarnation; a restart has a new id
    std::string service;
    endpoint address;
    std::string failureDomain;
    std::uint32_t slots = 1; ///< calls processed concurrently
    bool draining = false; ///< about to shut down; accepts no new calls
    bool reclaimable = false; ///< the VM may be reclaimed, together with its whole failure domain
    duration remainingWarmUp{}; ///< warm-up time left after a start, when the record was written
    std::string softwareVersion; ///< compared only for equality; empty if the upstream states none
    std::string name; ///< kept by an upstream when it starts again; empty if its id is
    std::int64_t startedAt = 0; ///< milliseconds since 1970 by the upstream's clock; 0 if not stated

    auto operator<=>(const upstream_record &) const = default;

    /// Returns what the incarnations of one upstream have in common.
    const std::string &stableName() const
    {
        return name.empty() ? id : name;
    }
};

/// Pending prefill tokens that weigh as much as one call in progress. Engines process this many tokens in 40
/// to 47 ms, about the time of eight decoding steps for all calls that are generating tokens.
inline constexpr double tokens_per_call = 2000.0;

/// An upstream and the state that this node derives from its own calls.
struct upstream
{
    upstream_record record;
    std::uint32_t running = 0; ///< this node's calls in progress
    std::uint64_t pendingPrefillTokens = 0; ///< prompt tokens that it has yet to process
    std::uint32_t consecutiveFailures = 0;
    time_point ejectedUntil{};
    upstream_statement stated; ///< in its last answer
    time_point waitUntil{}; ///< it wants no calls from this node before
    std::uint32_t resumeLimit = 0; ///< calls that may await their answers after a wait; 0: any number
    std::uint32_t awaitingAnswer = 0; ///< calls sent after the last wait and not yet answered
    std::optional<time_point> endedAt; ///< when its process ended, until its row is renewed
    std::uint32_t renewals = 0; ///< of its row since its end

    /// Returns the load that this node's calls put on the upstream, in calls.
    double load() const
    {
        return running + static_cast<double>(pendingPrefillTokens) / tokens_per_call;
    }

    bool isEjected(time_point now) const
    {
        return now < ejectedUntil;
    }

    /// Returns whether the process at the address may be a later start, of which no row was read yet: its
    /// software version is unknown.
    bool isUnconfirmed() const
    {
        return endedAt.has_value();
    }

    /// Returns for how long the upstream takes no further call because of a wait that it asked for; zero if
    /// it takes one now.
    duration waitLeft(time_point now) const;
};

/// The known upstreams, by id.
class upstream_directory
{
public:
    explicit upstream_directory(const clock &time);

    /// Adds or updates a record. An upstream that drains stays draining, and one that drained and was removed
    /// is not added again. The software version of an incarnation never changes; the first one stated holds.
    ///
    /// An incarnation takes the place of the former one with its name, which ended and is not added again.
    /// The order of their starts does not matter, because the clock of an upstream may be set back.
    void put(const upstream_record &record);

    /// Removes an upstream that the platform no longer lists. Calls in progress may still complete; new calls
    /// are not routed to it.
    void remove(const std::string &id);

    /// Replaces all records, and removes the upstreams that are not in `records`.
    void replaceAll(const std::vector<upstream_record> &records);

    /// Marks an upstream as draining. It stays so, whatever later records state. One that is not listed is
    /// not added for a while.
    void markDraining(const std::string &id);

    /// Returns the upstream, including a draining one, or null if it is unknown or was removed.
    const upstream *find(const std::string &id) const;

    /// Returns the listed incarnation of the upstream with this name, or null if there is none.
    const upstream *findByName(const std::string &name) const;

    /// Returns the upstream that is listed at an address, or null if there is none.
    const upstream *findByAddress(const endpoint &address) const;

    /// Returns the number of listed upstreams.
    std::size_t size() const
    {
        return m_upstreams.size();
    }

    /// Returns the upstreams of a service that accept new calls, including ejected ones.
    std::vector<const upstream *> ready(const std::string &service) const;

    /// Returns a number that changes whenever ready() may return other upstreams for a service. Pointers to
    /// upstreams are valid until it changes.
    std::uint64_t revision() const
    {
        return m_revision;
    }

    /// Returns all listed upstreams.
    std::vector<const upstream *> all() const;

    /// Records that a call was sent to an upstream, which has to process `pendingPrefillTokens` before its
    /// first event.
    void recordCallStart(const std::string &id, std::uint64_t pendingPrefillTokens);

    /// Records that the upstream has processed prompt tokens of a call.
    void recordPrefill(const std::string &id, std::uint64_t tokens);

    /// Records that a call ended, with `pendingPrefillTokens` of its prompt still not processed.
    void recordCallEnd(const std::string &id, std::uint64_t pendingPrefillTokens);

    /// Records a success: resets the failure count and ends an ejection.
    void recordSuccess(const std::string &id);

    /// Records a failure. After several consecutive failures the upstream is ejected, for a time that grows
    /// with each further failure.
    void recordFailure(const std::string &id);

    /// Records that the process of an upstream ended. What answers at its address from then on may be a later
    /// start, until a row tells.
    void recordEnd(const std::string &id);

    /// Records that another node saw the end of an upstream. It doesn't count while this node has calls in
    /// progress there, which would have broken off.
    void recordToldEnd(const std::string &id);

    /// Records that a row of this incarnation was read. A first one, or one that is read soon after the end,
    /// may have been written before it.
    void confirm(const std::string &id);

    /// Registers an observer that is called with the id of an upstream whose end this node saw.
    void onEnded(std::function<void(const std::string &)> observer);

    /// Records what an upstream stated in an answer. One that leaves is draining from then on, whatever a
    /// table states. Logs what changed.
    void recordStatement(const std::string &id, const upstream_statement &statement);

    /// Registers an observer that is called when an upstream starts draining or is removed. The record of one
    /// that ended is draining; another one may be listed again.
    void onUnavailable(std::function<void(const upstream_record &)> observer);

private:
    struct known_version
    {
        std::string version;
        time_point listedAt{};
    };

    std::string softwareVersionOf(const upstream_record &record);
    bool hasLeft(const std::string &id) const;
    void removeFormerIncarnation(const upstream_record &record);
    void setUnconfirmed(upstream &each) const;
    static void startWait(upstream &of, time_point until);
    void forgetLeft();

    const clock &m_time;
    std::uint64_t m_revision = 1;
    std::map<std::string, upstream> m_upstreams;
    std::map<std::string, std::string> m_listedIncarnations; ///< ids of listed upstreams, by name
    std::map<std::string, time_point> m_left; ///< upstreams that ended, and when they were removed
    std::map<std::string, time_point> m_waits; ///< ends of the waits of upstreams that are not listed now
    std::map<std::string, known_version> m_softwareVersions; ///< first stated version, by upstream
    std::vector<std::function<void(const upstream_record &)>> m_unavailableObservers;
    std::vector<std::function<void(const std::string &)>> m_endObservers;
};

/// Number of calls that may await their answers when a wait has ended. Each success doubles it; from the
/// last limit on any number is allowed.
inline constexpr std::uint32_t first_resume_limit = 2;
inline constexpr std::uint32_t last_resume_limit = 16;

/// How soon an upstream that resumes after a wait may take another call.
inline constexpr duration resume_retry_interval = std::chrono::milliseconds(200);

/// How long after the end of an upstream a row may arrive that was written before it.
inline constexpr duration max_row_delay = std::chrono::seconds(1);

/// Rows that confirm an upstream after its end.
inline constexpr std::uint32_t confirming_rows = 2;

/// Consecutive failures after which an upstream is ejected.
inline constexpr std::uint32_t ejection_failure_threshold = 3;

/// Duration of the first ejection; doubled with each further failure up to the maximum.
inline constexpr duration min_ejection_time = std::chrono::milliseconds(800);
inline constexpr duration max_ejection_time = std::chrono::seconds(6);

} // namespace ivypier::relay
