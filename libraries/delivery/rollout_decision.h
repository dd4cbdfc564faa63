#pragma once

#include "base/clock.h"
#include "delivery/evidence_series.h"
#include "delivery/rollout_order.h"

#include <compare>
#include <cstdint>
#include <string>

namespace ivypier::delivery {

enum class rollout_action : std::uint8_t { go_on, complete, roll_back };

struct rollout_verdict
{
    rollout_action action = rollout_action::go_on;
    double share = 0.0;
    std::string reason;

    auto operator<=>(const rollout_verdict &) const = default;
};

/// What the decision on a rollout is based on, apart from the evidence.
struct decision_input
{
    duration sinceOrder{};
    duration timeLeft{}; ///< until the deadline
    duration evidenceAge{}; ///< average age of the reports in the evidence
    bool hasTarget = false; ///< upstreams of the target accept calls
    bool hasOther = false; ///< upstreams of other versions accept calls
    std::uint64_t streamsOnOther = 0; ///< running calls on upstreams of other versions
    double share = 0.0; ///< present share
    duration atShare{}; ///< since the present share was stated first

    auto operator<=>(const decision_input &) const = default;
};

/// Time kept at the end for the writes of a completion.
inline constexpr duration completion_margin = std::chrono::milliseconds(600);
/// Time before that in which all new calls go to the target, so that streams on other versions end.
/// It is a tenth of the rollout within these bounds.
inline constexpr duration min_drain_time = std::chrono::milliseconds(1800);
inline constexpr duration max_drain_time = std::chrono::seconds(3);
/// Minimum time of the stages `trial` and `loaded`.
inline constexpr duration min_trial_time = std::chrono::milliseconds(1500);
inline constexpr duration min_loaded_time = std::chrono::milliseconds(1200);
/// Allowance for a statement to reach the nodes.
inline constexpr duration statement_delay = std::chrono::milliseconds(300);
/// The share isn't raised on older evidence.
inline constexpr duration max_evidence_age = std::chrono::seconds(4);

/// Highest share of the first stage, `observed`.
inline constexpr double observed_share = 0.02;
/// Bounds of the share of the stage `trial`; within them it is what the exposure bound leaves.
inline constexpr double min_trial_share = 0.05;
inline constexpr double max_trial_share = 0.08;
/// Share of the stage `loaded`. The rest goes to the other versions, so that both are still compared at the
/// same time: without it, a lost failure domain would look like a bad version.
inline constexpr double loaded_share = 0.75;
/// Answers of the target without which the share isn't raised, unless fewer calls were sent.
inline constexpr std::uint64_t min_answers = 8;

/// Decides on the share and the end of a rollout. Without state of its own.
rollout_verdict decideRollout(const rollout_limits &limits, const evidence_series &series,
                              const decision_input &input);

} // namespace ivypier::delivery
