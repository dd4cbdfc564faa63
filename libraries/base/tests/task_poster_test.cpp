#include "base/event_loop.h"
#include "base/task_poster.h"
#include "base/virtual_scheduler.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <thread>

using namespace ivypier;

TEST_CASE("a task poster posts tasks to its scheduler in their order")
{
    virtual_scheduler tasks;
    const task_poster poster(tasks);
    std::string order;
    const task_poster::handle handle = poster.newHandle();
    handle.post([&] { order += 'a'; });
    handle.post([&] { order += 'b'; });
    CHECK(order.empty());
    tasks.runAll(10);
    CHECK(order == "ab");
}

TEST_CASE("a destroyed task poster neither posts nor runs what is still queued")
{
    virtual_scheduler tasks;
    std::optional<task_poster> poster(tasks);
    const task_poster::handle handle = poster->newHandle();
    int runs = 0;
    handle.post([&] { ++runs; });
    poster.reset();
    handle.post([&] { ++runs; });
    tasks.runAll(10);
    CHECK(runs == 0);
}

TEST_CASE("a handle of a task poster may outlive the scheduler")
{
    std::optional<task_poster::handle> handle;
    {
        event_loop loop;
        const task_poster poster(loop);
        handle = poster.newHandle();
    }
    bool wasRun = false;
    handle->post([&] { wasRun = true; });
    CHECK_FALSE(wasRun);
}

TEST_CASE("threads may post while a task poster and its scheduler are destroyed")
{
    for (int round = 0; round < 200; ++round) {
        std::atomic<bool> isStopping = false;
        std::thread sender;
        {
            event_loop loop;
            task_poster poster(loop);
            sender = std::thread([handle = poster.newHandle(), &isStopping] {
                while (!isStopping)
                    handle.post([] {});
            });
            loop.post([&] { loop.stop(); });
            loop.run();
        }
        isStopping = true;
        sender.join();
    }
}
