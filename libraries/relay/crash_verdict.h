#pragma once

#include "relay/crash_evidence.h"

namespace ivypier::relay {

/// What a blame amounts to.
enum class crash_verdict {
    none,
    suspected, ///< calls with the keys are not sent again after an end
    convicted, ///< calls with the keys are not sent
};

/// Events from which on keys are suspected.
inline constexpr std::size_t suspicion_events = 2;
/// Events from which on keys are convicted that were never answered.
inline constexpr std::size_t conviction_events = 3;
/// Different calls from which on a part of their prompts is convicted. One call that was sent again may have
/// met several ends by chance; if it did not, the call itself is convicted.
inline constexpr std::size_t conviction_calls = 3;
/// Further events that are needed while several keys explain the ends equally well.
inline constexpr std::size_t ambiguity_events = 1;
/// Events from which on keys are suspected that were answered before.
inline constexpr std::size_t answered_suspicion_events = 4;
/// Events from which on keys are convicted that were answered before.
inline constexpr std::size_t answered_conviction_events = 5;
/// Keys that were answered before are convicted only this long after the first end. An answer that began
/// after that end would have cleared them by then.
inline constexpr duration answered_conviction_time = std::chrono::milliseconds(3500);

/// Events from which on keys that were never answered are convicted without waiting for an objection.
inline constexpr std::size_t overwhelming_events = 5;

bool isOverwhelming(const crash_blame &blame);

crash_verdict verdictOn(const crash_blame &blame, time_point now);

} // namespace ivypier::relay
