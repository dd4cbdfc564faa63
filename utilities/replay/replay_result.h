#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ivypier::replay {

/// Outcomes of the requests of one account and class that arrived in the measured time.
struct request_counts
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t answered = 0;
    std::uint64_t withinTarget = 0; ///< answers that met the first-token and the inter-token target
    /// Admitted although expected to miss the first-token target because of load, not of their own length.
    std::uint64_t admittedThoughLate = 0;
    std::vector<double> firstTokenSeconds; ///< of every request that received a first token
    std::vector<double> interTokenSeconds; ///< mean inter-token time of each answer

    auto operator<=>(const request_counts &) const = default;

    void add(const request_counts &other);
};

/// Result of one replay of a trace.
struct replay_result
{
    std::map<std::pair<std::string, std::string>, request_counts> byAccountAndClass;
    double measuredSeconds = 0.0;
    std::uint64_t completedInWindow = 0; ///< answers that ended in the measured time
    double worthOffered = 0.0;
    double worthWithinTarget = 0.0;
    double imbalance = 0.0; ///< most streams at one runner divided by the mean per runner, averaged over time
    std::uint64_t promptTokens = 0; ///< of answered requests that arrived in the measured time
    std::uint64_t computedTokens = 0; ///< those of the prompt tokens that were processed rather than cached
    std::uint64_t recomputedTokens = 0; ///< processed or generated again after an interruption
    std::uint64_t attemptCount = 0; ///< attempts sent during the whole run
    std::uint64_t requestCount = 0; ///< requests with at least one attempt during the whole run
    std::uint64_t outageAttempts = 0; ///< attempts sent during the outage
    std::uint64_t outageRetries = 0; ///< those of the outage attempts that were retries
    std::uint64_t outageRequests = 0; ///< requests that arrived during the outage
    /// Answers that met the targets, by the second in which the request arrived.
    std::vector<std::uint64_t> withinTargetBySecond;
    std::vector<std::uint64_t> offeredBySecond;

    request_counts total() const;

    /// Returns the answers per second that met the targets.
    double goodput() const;

    /// Returns the answers per second that ended in the measured time.
    double throughput() const;

    /// Returns the fraction of prompt tokens served from caches; 0 without prompt tokens.
    double cacheHitRate() const;
};

/// Returns the value below which `fraction` of the values lie; 0 without values.
double quantile(std::vector<double> values, double fraction);

} // namespace ivypier::replay
