#pragma once

#include "base/scheduler.h"

#include <memory>

namespace ivypier {

/// The scheduler of a daemon. Runs tasks on one thread and uses the operating system's clocks.
class event_loop final : public scheduler
{
public:
    event_loop();
    ~event_loop() override;

    time_point now() const override;
    std::int64_t wallMilliseconds() const override;
    void post(task work) override;
    timer_id after(duration delay, task work) override;
    void cancel(timer_id timer) override;

    /// Runs tasks on the calling thread until stop(); may be called again after that.
    void run();

    /// Makes run() return after the current task. May be called from any thread.
    void stop();

    /// Runs `handler` as a task on the first SIGTERM or SIGINT.
    void onTerminate(task handler);

    /// Runs `handler` as a task on each SIGHUP, which then no longer terminates the process.
    void onReload(task handler);

    /// Returns the loop's `boost::asio::io_context *`, for sockets that run on its thread.
    void *nativeContext();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace ivypier
