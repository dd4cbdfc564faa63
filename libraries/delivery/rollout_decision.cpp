#include "delivery/rollout_decision.h"

namespace ivypier::delivery {

rollout_verdict decideRollout(const rollout_limits &, const evidence_series &, const decision_input &input)
{
    if (!input.hasTarget)
        return {rollout_action::go_on, 0.0, "no upstream of the target"};
    return {rollout_action::go_on, 0.02, "observing"};
}

} // namespace ivypier::delivery
