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

/// What the decision on a rollout is based on.
struct decision_input
{
    duration sinceOrder{};
    duration timeLeft{}; ///< until the deadline
    duration evidenceAge{}; ///< average age of the reports in the evidence
    bool hasTarget = false; ///< upstreams of the target accept calls
    bool hasOther = false; ///< upstreams of other versions accept calls
    std::uint64_t streamsOnOther = 0; ///< running calls on upstreams of other versions
    double share = 0.0; ///< present share

    auto operator<=>(const decision_input &) const = default;
};

/// Decides on the share and the end of a rollout. Without state of its own.
rollout_verdict decideRollout(const rollout_limits &limits, const evidence_series &series,
                              const decision_input &input);

} // namespace ivypier::delivery
