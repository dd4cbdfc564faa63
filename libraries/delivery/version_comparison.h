#pragma once

#include "delivery/evidence_series.h"

#include <compare>
#include <string>

namespace ivypier::delivery {

/// Strength of the evidence that the target is worse than the other versions, of the route and kind of answer
/// for which it is strongest.
struct version_difference
{
    /// Upper bound of the probability of such a difference between equal versions, as a negative logarithm.
    double strength = 0.0;
    std::string route;
    std::string kind; ///< what the target does more often
    double targetRate = 0.0;
    double otherRate = 0.0;

    auto operator<=>(const version_difference &) const = default;
};

/// Time over which the newest answers of the target are compared.
inline constexpr duration recent_time = std::chrono::milliseconds(1200);
/// Time of earlier answers of the other versions with which they are compared too.
inline constexpr duration history_time = std::chrono::seconds(8);

/// Compares the target with the other versions, on each route separately, by failures, times, gaps and calls
/// without an answer.
///
/// Answers of the same interval are compared, so that what befalls both versions, as a burst or a lost
/// failure domain does, is no difference. The newest answers of the target are also compared with earlier
/// ones of the other versions, because few calls go to those at the end; such a difference counts only if the
/// few don't contradict it.
version_difference compareVersions(const evidence_series &series);

/// Returns true while the other versions fail clearly more often than before. A difference is hard to see
/// then.
bool areOthersDisturbed(const evidence_series &series);

/// Returns the strength that a difference must have: a false rollback has a probability below one in a
/// thousand for all looks at all routes together, also if failures come in clumps of a few.
double requiredStrength(std::size_t looks, std::size_t routes);

} // namespace ivypier::delivery
