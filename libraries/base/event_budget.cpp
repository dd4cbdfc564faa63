#include "base/event_budget.h"

#include <algorithm>

namespace ivypier {

event_budget::event_budget(const clock &time)
    : m_time(time)
    , m_updatedAt(time.now())
{
}

bool event_budget::take(double perSecond, double burst)
{
    const time_point now = m_time.now();
    m_used = std::max(0.0, m_used - perSecond * seconds(now - m_updatedAt));
    m_updatedAt = now;
    if (m_used + 1.0 > burst)
        return false;
    m_used += 1.0;
    return true;
}

} // namespace ivypier
