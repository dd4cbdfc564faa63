#include "relay/crash_verdict.h"

#include <algorithm>

namespace ivypier::relay {

bool isOverwhelming(const crash_blame &blame)
{
    return blame.events >= overwhelming_events && !blame.isAmbiguous && !blame.wasAnswered;
}

crash_verdict verdictOn(const crash_blame &blame, time_point now)
{
    if (blame.events < (blame.wasAnswered ? answered_suspicion_events : suspicion_events))
        return crash_verdict::none;
    const std::size_t ambiguity = blame.isAmbiguous ? ambiguity_events : 0;
    const bool isAnswerOverdue = !blame.wasAnswered || now - blame.firstEnd >= answered_conviction_time;
    const std::size_t events
        = (blame.wasAnswered ? answered_conviction_events : conviction_events) + ambiguity;
    const bool concernsOneCall
        = std::any_of(blame.keys.begin(), blame.keys.end(), [](crash_key each) { return each.isOfCall(); });
    const bool isConvicted
        = blame.events >= events && (concernsOneCall || blame.calls >= conviction_calls) && isAnswerOverdue;
    return isConvicted ? crash_verdict::convicted : crash_verdict::suspected;
}

} // namespace ivypier::relay
