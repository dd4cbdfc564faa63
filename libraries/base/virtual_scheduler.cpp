#include "base/virtual_scheduler.h"

#include <algorithm>

namespace ivypier {

time_point virtual_scheduler::now() const
{
    return m_now;
}

std::int64_t virtual_scheduler::wallMilliseconds() const
{
    return milliseconds(m_now.time_since_epoch());
}

void virtual_scheduler::post(task work)
{
    after(duration::zero(), std::move(work));
}

timer_id virtual_scheduler::after(duration delay, task work)
{
    const timer_id id = m_nextTimerId++;
    m_tasks.emplace(std::pair{m_now + std::max(delay, duration::zero()), id}, std::move(work));
    return id;
}

void virtual_scheduler::cancel(timer_id timer)
{
    const auto found = std::find_if(m_tasks.begin(), m_tasks.end(),
                                    [&](const auto &entry) { return entry.first.second == timer; });
    if (found != m_tasks.end())
        m_tasks.erase(found);
}

void virtual_scheduler::advance(duration span)
{
    const time_point end = m_now + span;
    while (!m_tasks.empty() && m_tasks.begin()->first.first <= end)
        runNext();
    m_now = end;
}

bool virtual_scheduler::runNext()
{
    if (m_tasks.empty())
        return false;
    auto entry = m_tasks.extract(m_tasks.begin());
    m_now = entry.key().first;
    entry.mapped()();
    return true;
}

std::size_t virtual_scheduler::runAll(std::size_t limit)
{
    std::size_t count = 0;
    while (count < limit && runNext())
        ++count;
    return count;
}

} // namespace ivypier
