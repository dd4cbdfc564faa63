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
    m_tasks.post(deferWhilePaused(std::move(work)));
}

timer_id pausable_scheduler::after(duration delay, task work)
{
    return m_tasks.after(delay, deferWhilePaused(std::move(work)));
}

void pausable_scheduler::cancel(timer_id timer)
{
    m_tasks.cancel(timer);
}

void pausable_scheduler::pause()
{
    m_state->isPaused = true;
}

void pausable_scheduler::resume()
{
    m_state->isPaused = false;
    for (task &deferred : std::exchange(m_state->deferredTasks, {}))
        post(std::move(deferred));
}

bool pausable_scheduler::isPaused() const
{
    return m_state->isPaused;
}

scheduler::task pausable_scheduler::deferWhilePaused(task work)
{
    return [state = std::weak_ptr(m_state), work = std::move(work)] {
        const auto liveState = state.lock();
        if (!liveState) // the scheduler was destroyed with its node
            return;
        if (liveState->isPaused)
            liveState->deferredTasks.push_back(work);
        else
            work();
    };
}

} // namespace ivypier
