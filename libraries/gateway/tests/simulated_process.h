#pragma once

#include "base/scheduler.h"
#include "base/virtual_scheduler.h"

#include <deque>
#include <memory>
#include <set>
#include <utility>

namespace ivypier::simulation {

/// The scheduler of one simulated process. Freezing defers its tasks, killing drops them.
class simulated_process final : public scheduler
{
public:
    explicit simulated_process(virtual_scheduler &time)
        : m_time(time)
    {
    }

    time_point now() const override
    {
        return m_time.now();
    }

    std::int64_t wallMilliseconds() const override
    {
        return m_time.wallMilliseconds();
    }

    void post(task work) override
    {
        after(duration::zero(), std::move(work));
    }

    timer_id after(duration delay, task work) override
    {
        const timer_id id = ++m_state->lastTimer;
        m_time.after(delay, [state = m_state, id, work = std::move(work)] {
            if (!state->alive)
                return;
            if (state->frozen)
                state->deferredTasks.emplace_back(id, work);
            else if (state->cancelled.erase(id) == 0)
                work();
        });
        return id;
    }

    void cancel(timer_id timer) override
    {
        if (timer != 0)
            m_state->cancelled.insert(timer);
    }

    void freeze()
    {
        m_state->frozen = true;
    }

    /// Resumes the process. All tasks that became due while it was frozen are posted now, in order.
    void unfreeze()
    {
        m_state->frozen = false;
        while (!m_state->deferredTasks.empty()) {
            auto [id, work] = std::move(m_state->deferredTasks.front());
            m_state->deferredTasks.pop_front();
            m_time.post([state = m_state, id, work = std::move(work)] {
                if (state->alive && state->cancelled.erase(id) == 0)
                    work();
            });
        }
    }

    void kill()
    {
        m_state->alive = false;
        m_state->deferredTasks.clear();
    }

    bool isAlive() const
    {
        return m_state->alive;
    }

    bool isFrozen() const
    {
        return m_state->frozen;
    }

private:
    struct shared_state
    {
        bool alive = true;
        bool frozen = false;
        timer_id lastTimer = 0;
        std::set<timer_id> cancelled;
        std::deque<std::pair<timer_id, task>> deferredTasks;
    };

    virtual_scheduler &m_time;
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
};

} // namespace ivypier::simulation
