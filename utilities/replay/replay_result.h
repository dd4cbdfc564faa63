#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ivypier::replay {

/// What became of the requestCount of one account and class in the measured time.
struct request_counts
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t answered = 0;
    std::uint64_t withinTarget = 0; ///< first token and tokens after it
    std::uint64_t admittedThoughLate = 0; ///< accepted although expected late and not by their own length
    std::vector<double> firstTokenSeconds; ///< of every accepted request that got one
    std::vector<double> interTokenSeconds; ///< the mean of each answer

    auto operator<=>(const request_counts &) const = default;

    void add(const request_counts &other);
};

/// What one run of a trace gave.
struct replay_result
{
    std::map<std::pair<std::string, std::string>, request_counts> byAccountAndClass;
    double measuredSeconds = 0.0;
    std::uint64_t completedInWindow = 0; ///< answers that ended in the measured time
    double worthOffered = 0.0;
    double worthWithinTarget = 0.0;
    double imbalance = 0.0; ///< mean over time of the greatest number of streams at a runner against the mean
    std::uint64_t promptTokens = 0; ///< of attempts that began in the measured time
    std::uint64_t computedTokens = 0; ///< prompt tokens that were processed, not cached
    std::uint64_t recomputedTokens = 0; ///< processed or generated again after an interruption
    std::uint64_t attemptCount = 0; ///< attempts sent, over the whole run
    std::uint64_t requestCount = 0; ///< requestCount sent at least once, over the whole run
    std::uint64_t outageAttempts = 0; ///< attempts sent during the outage
    std::uint64_t outageRetries = 0; ///< those of them that repeated an attempt
    std::uint64_t outageRequests = 0; ///< requestCount that came during the outage
    std::vector<std::uint64_t> withinTargetBySecond; ///< answers in target, by the second of their arrival
    std::vector<std::uint64_t> offeredBySecond;

    request_counts total() const;

    /// Answers in target a second.
    double goodput() const;

    /// Answers that ended in the measured time, a second.
    double throughput() const;

    /// Prompt tokens that came from caches, as a part.
    double cacheHitRate() const;
};

/// The value below which `fraction` of the values lie; 0 without values.
double quantile(std::vector<double> values, double fraction);

} // namespace ivypier::replay
