#pragma once

#include "base/event_loop.h"

#include <future>
#include <thread>

namespace ivypier {

/// Runs an event loop on its own thread, for tests that block on sockets.
class event_loop_thread
{
public:
    event_loop_thread()
        : m_thread([this] { loop.run(); })
    {
    }
    ~event_loop_thread()
    {
        finish();
    }

    /// Stops the loop and joins the thread. Tasks that are posted later don't run.
    void finish()
    {
        loop.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Runs `work` on the loop's thread, blocks until it has finished, and returns its result.
    template <typename Work>
    auto run(Work work)
    {
        std::packaged_task<decltype(work())()> task(std::move(work));
        auto done = task.get_future();
        loop.post([&task] { task(); });
        return done.get();
    }

    event_loop loop;

private:
    std::thread m_thread;
};

} // namespace ivypier
