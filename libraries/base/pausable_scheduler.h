#pragma once

#include "base/scheduler.h"

#include <memory>
#include <vector>

namespace ivypier {

/// A scheduler for tests that can be paused and resumed, as SIGSTOP and SIGCONT do with a process. Time
/// continues during a pause; tasks that became due meanwhile run after resume().
class pausable_scheduler final : public scheduler
{
public:
    explicit pausable_scheduler(scheduler &tasks);

    time_point now() const override;
    std::int64_t wallMilliseconds() const override;
    void post(task work) override;
    timer_id after(duration delay, task work) override;
    void cancel(timer_id timer) override;

    void pause();
    void resume();
    bool isPaused() const;

private:
    struct state
    {
        bool isPaused = false;
        std::vector<task> deferredTasks;
    };

    /// Wraps a task so that it is queued until resume() if the scheduler is paused when it becomes due, and
    /// is dropped if the scheduler no longer exists.
    task deferWhilePaused(task work);

    scheduler &m_tasks;
    std::shared_ptr<state> m_state = std::make_shared<state>();
};

} // namespace ivypier
