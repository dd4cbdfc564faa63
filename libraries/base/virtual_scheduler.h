#pragma once

#include "base/scheduler.h"

#include <map>
#include <utility>

namespace ivypier {

/// A scheduler in virtual time, for tests and measurements: time moves only when it is told to, and tasks of
/// one moment run in the order they were given.
class virtual_scheduler final : public scheduler
{
public:
    time_point now() const override;
    std::int64_t wallMilliseconds() const override;
    void post(task work) override;
    timer_id after(duration delay, task work) override;
    void cancel(timer_id timer) override;

    /// Runs everything that is due within `span` and moves time on by it.
    void advance(duration span);

    /// Runs the next task and moves time to it; false when nothing is left.
    bool runNext();

    /// Runs tasks until none is left or `limit` of them ran; the number of tasks that ran.
    std::size_t runAll(std::size_t limit);

private:
    time_point m_now{};
    timer_id m_nextTimerId = 1;
    std::map<std::pair<time_point, timer_id>, task> m_tasks;
};

} // namespace ivypier
