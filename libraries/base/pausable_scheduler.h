#pragma once

#include "base/scheduler.h"

#include <memory>
#include <vector>

namespace ivypier {

/// A scheduler that can be stopped and resumed as a process is by SIGSTOP and SIGCONT, for tests: time goes
/// on meanwhile, and what became due runs after resume().
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

    task deferWhilePaused(task work);

    scheduler &m_tasks;
    std::shared_ptr<state> m_state = std::make_shared<state>();
};

} // namespace ivypier
