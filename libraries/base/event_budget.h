#pragma once

#include "base/clock.h"

namespace ivypier {

/// Limits how often something may happen: a token bucket that starts full.
class event_budget
{
public:
    explicit event_budget(const clock &time);

    /// Takes one event out of a budget of `perSecond`, of which at most `burst` are saved up. Returns false
    /// if the budget is used up.
    bool take(double perSecond, double burst);

private:
    const clock &m_time;
    double m_used = 0.0; ///< events that are not replaced yet
    time_point m_updatedAt;
};

} // namespace ivypier
