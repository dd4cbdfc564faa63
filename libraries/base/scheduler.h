#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>

namespace ivypier {

using timer_id = std::uint64_t;

/// Runs tasks one at a time, immediately or after a delay. All tasks of a scheduler run on the same thread,
/// so state that only they access needs no lock.
class scheduler : public clock
{
public:
    using task = std::function<void()>;

    /// Runs `work` after the tasks already queued. May be called from any thread.
    virtual void post(task work) = 0;

    /// Runs `work` once after `delay`. Must be called from a task of this scheduler.
    virtual timer_id after(duration delay, task work) = 0;

    /// Cancels a timer. Does nothing if it has already run or is unknown. Must be called from a task of this
    /// scheduler.
    virtual void cancel(timer_id timer) = 0;
};

} // namespace ivypier
