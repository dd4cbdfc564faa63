#pragma once

#include "base/scheduler.h"

#include <memory>

namespace ivypier {

/// The scheduler of a daemon: one thread over the operating system's clocks.
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

    /// Ends run() after the current task. May be called from any thread.
    void stop();

    /// Calls `handler` as a task when the process gets SIGTERM or SIGINT.
    void onTerminate(task handler);

    /// Calls `handler` as a task each time the process gets SIGHUP, which does not end it then.
    void onReload(task handler);

    /// The loop's Boost.Asio context, a `boost::asio::io_context *`, for sockets that share its thread.
    void *nativeContext();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace ivypier
