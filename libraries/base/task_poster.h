#pragma once

#include "base/scheduler.h"

#include <memory>

namespace ivypier {

/// Posts tasks of one owner to a scheduler from other threads. After the poster is destroyed its handles post
/// nothing, and its tasks that are still queued do not run. So work on another thread may keep a handle for
/// longer than the owner and the scheduler exist. A poster must be destroyed on the scheduler's thread.
class task_poster
{
    struct state;

public:
    /// Thread-safe, cheap to copy.
    class handle
    {
    public:
        /// Posts `work` if the poster still exists, else drops it.
        void post(scheduler::task work) const;

    private:
        friend class task_poster;
        explicit handle(std::shared_ptr<state> shared);

        std::shared_ptr<state> m_state;
    };

    explicit task_poster(scheduler &tasks);
    ~task_poster();

    task_poster(const task_poster &) = delete;
    task_poster &operator=(const task_poster &) = delete;

    handle newHandle() const;

private:
    std::shared_ptr<state> m_state;
};

} // namespace ivypier
