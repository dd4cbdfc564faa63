#include "base/event_loop.h"

#include "base/boot_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace ivypier {

struct event_loop::state
{
    void awaitReloadSignal();
    void runNextPosted();

    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{context.get_executor()};
    boost::asio::signal_set terminationSignals{context};
    boost::asio::signal_set reloadSignals{context};
    task onReload;
    std::unordered_map<timer_id, std::unique_ptr<boost::asio::steady_timer>> timers;
    timer_id nextTimerId = 1;
    std::mutex postedMutex;
    std::deque<task> posted; ///< the context has one runNextPosted() call queued for each
};

void event_loop::state::runNextPosted()
{
    task nextTask;
    {
        const std::lock_guard lock(postedMutex);
        nextTask = std::move(posted.front());
        posted.pop_front();
    }
    nextTask();
}

event_loop::event_loop()
    : m_state(std::make_unique<state>())
{
}

event_loop::~event_loop() = default;

time_point event_loop::now() const
{
    return bootClockNow();
}

std::int64_t event_loop::wallMilliseconds() const
{
    return milliseconds(std::chrono::system_clock::now().time_since_epoch());
}

void event_loop::post(task work)
{
    // Boost.Asio can run a handler posted by another thread before one that its own thread posted earlier.
    // This queue keeps the order of posting across threads.
    {
        const std::lock_guard lock(m_state->postedMutex);
        m_state->posted.push_back(std::move(work));
    }
    boost::asio::post(m_state->context, [state = m_state.get()] { state->runNextPosted(); });
}

timer_id event_loop::after(duration delay, task work)
{
    const timer_id id = m_state->nextTimerId++;
    auto timer = std::make_unique<boost::asio::steady_timer>(m_state->context, delay);
    timer->async_wait([this, id, work = std::move(work)](const boost::system::error_code &failure) {
        if (failure || m_state->timers.erase(id) == 0)
            return;
        work();
    });
    m_state->timers.emplace(id, std::move(timer));
    return id;
}

void event_loop::cancel(timer_id timer)
{
    m_state->timers.erase(timer);
}

void event_loop::run()
{
    m_state->context.run();
    m_state->context.restart();
}

void event_loop::stop()
{
    m_state->context.stop();
}

void event_loop::onTerminate(task handler)
{
    m_state->terminationSignals.add(SIGTERM);
    m_state->terminationSignals.add(SIGINT);
    m_state->terminationSignals.async_wait(
        [handler = std::move(handler)](const boost::system::error_code &failure, int) {
            if (!failure)
                handler();
        });
}

void event_loop::state::awaitReloadSignal()
{
    reloadSignals.async_wait([this](const boost::system::error_code &failure, int) {
        if (failure)
            return;
        onReload();
        awaitReloadSignal();
    });
}

void event_loop::onReload(task handler)
{
    m_state->onReload = std::move(handler);
    m_state->reloadSignals.add(SIGHUP);
    m_state->awaitReloadSignal();
}

void *event_loop::nativeContext()
{
    return &m_state->context;
}

} // namespace ivypier
