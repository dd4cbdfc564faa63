#include "replay_plan.h"

namespace ivypier::replay {

std::string_view name(routing_policy policy)
{
    switch (policy) {
    case routing_policy::round_robin:
        return "round_robin";
    case routing_policy::least_reported:
        return "least_reported";
    case routing_policy::least_dispatched:
        return "least_dispatched";
    case routing_policy::expected_time:
        return "expected_time";
    case routing_policy::expected_time_no_prefixes:
        return "expected_time_no_prefixes";
    }
    return "expected_time";
}

std::string_view name(admission_choice policy)
{
    switch (policy) {
    case admission_choice::none:
        return "none";
    case admission_choice::deadline:
        return "deadline";
    case admission_choice::early_refusal:
        return "early_refusal";
    }
    return "none";
}

std::string_view name(recovery_policy policy)
{
    switch (policy) {
    case recovery_policy::restart:
        return "restart";
    case recovery_policy::proceed:
        return "proceed";
    case recovery_policy::transfer:
        return "transfer";
    }
    return "restart";
}

} // namespace ivypier::replay
