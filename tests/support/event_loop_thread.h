#pragma once

#include "base/event_loop.h"

#include <future>
#include <thread>

namespace ivypier {

/// An event loop on a thread of its own, for tests that block on sockets.
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

    /// Ends the thread; the loop runs nothing from then on.
    void finish()
    {
        loop.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Runs `work` on the loop and waits for its end.
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
