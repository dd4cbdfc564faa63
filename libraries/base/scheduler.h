#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>

namespace ivypier {

using timer_id = std::uint64_t;

/// Runs tasks one after another, now or later. Everything that is given to one scheduler runs on one thread,
/// so state that only its tasks touch needs no lock.
class scheduler : public clock
{
public:
    using task = std::function<void()>;

    /// Runs `work` as soon as the tasks before it are done. May be called from any thread.
    virtual void post(task work) = 0;

    /// Runs `work` once after `delay`. Only from a task of this scheduler.
    virtual timer_id after(duration delay, task work) = 0;

    /// Forgets a timer; one that has run or is not known is ignored. Only from a task of this scheduler.
    virtual void cancel(timer_id timer) = 0;
};

} // namespace ivypier
