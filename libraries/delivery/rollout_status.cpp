#include "delivery/rollout_status.h"

namespace ivypier::delivery {

std::string_view name(rollout_state state)
{
    switch (state) {
    case rollout_state::in_progress:
        return "in_progress";
    case rollout_state::completed:
        return "completed";
    case rollout_state::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

std::optional<rollout_state> rolloutStateOf(std::string_view text)
{
    for (const rollout_state each :
         {rollout_state::in_progress, rollout_state::completed, rollout_state::rolled_back}) {
        if (text == name(each))
            return each;
    }
    return std::nullopt;
}

} // namespace ivypier::delivery
