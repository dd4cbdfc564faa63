#include "base/pausable_scheduler.h"

#include <utility>

namespace ivypier {

pausable_scheduler::pausable_scheduler(scheduler &tasks)
    : m_tasks(tasks)
{
}

time_point pausable_scheduler::now() const
{
    return m_tasks.now();
}

std::int64_t pausable_scheduler::wallMilliseconds() const
{
    return m_tasks.wallMilliseconds();
}

void pausable_scheduler::post(task work)
{
    m_tasks.post(guarded(std::move(work)));
}

timer_id pausable_scheduler::after(duration delay, task work)
{
    return m_tasks.after(delay, guarded(std::move(work)));
}

void pausable_scheduler::cancel(timer_id timer)
{
    m_tasks.cancel(timer);
}

void pausable_scheduler::pause()
{
    m_state->paused = true;
}

void pausable_scheduler::resume()
{
    m_state->paused = false;
    for (task &each : std::exchange(m_state->held, {}))
        post(std::move(each));
}

bool pausable_scheduler::paused() const
{
    return m_state->paused;
}

scheduler::task pausable_scheduler::guarded(task work)
{
    return [state = std::weak_ptr(m_state), work = std::move(work)] {
        const auto own = state.lock();
        if (!own) // its node is gone
            return;
        if (own->paused)
            own->held.push_back(work);
        else
            work();
    };
}

} // namespace ivypier
