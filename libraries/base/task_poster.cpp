#include "base/task_poster.h"

#include <mutex>
#include <utility>

namespace ivypier {

struct task_poster::state
{
    explicit state(scheduler &scheduler)
        : tasks(&scheduler)
    {
    }

    bool isOpen()
    {
        const std::lock_guard lock(mutex);
        return tasks != nullptr;
    }

    std::mutex mutex;
    scheduler *tasks; ///< null after the poster was destroyed
};

task_poster::handle::handle(std::shared_ptr<state> shared)
    : m_state(std::move(shared))
{
}

void task_poster::handle::post(scheduler::task work) const
{
    const std::lock_guard lock(m_state->mutex);
    if (!m_state->tasks)
        return;
    m_state->tasks->post([shared = m_state, work = std::move(work)] {
        if (shared->isOpen())
            work();
    });
}

task_poster::task_poster(scheduler &tasks)
    : m_state(std::make_shared<state>(tasks))
{
}

task_poster::~task_poster()
{
    const std::lock_guard lock(m_state->mutex);
    m_state->tasks = nullptr;
}

task_poster::handle task_poster::newHandle() const
{
    return handle(m_state);
}

} // namespace ivypier
