#pragma once

#include "base/scheduler.h"

#include <map>
#include <utility>

namespace ivypier {

/// A scheduler in virtual time, for tests and benchmarks. Time advances only in advance(), runNext() and
/// runAll(). Tasks due at the same time run in the order in which they were scheduled.
class virtual_scheduler final : public scheduler
{
public:
    time_point now() const override;
    std::int64_t wallMilliseconds() const override;
    void post(task work) override;
    timer_id after(duration delay, task work) override;
    void cancel(timer_id timer) override;

    /// Runs the tasks due within `span` and advances the time by `span`.
    void advance(duration span);

    /// Advances the time to the next task and runs it. Returns false if there is none.
    bool runNext();

    /// Runs tasks until none is left or `limit` tasks have run. Returns how many have run.
    std::size_t runAll(std::size_t limit);

private:
    time_point m_now{};
    timer_id m_nextTimerId = 1;
    std::map<std::pair<time_point, timer_id>, task> m_tasks;
};

} // namespace ivypier
