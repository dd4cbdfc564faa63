#include "base/virtual_scheduler.h"

#include <catch2/catch.hpp>

#include <string>

using namespace ivypier;
using namespace std::chrono_literals;

TEST_CASE("tasks run in order of time, and those due at the same time in order of scheduling")
{
    virtual_scheduler tasks;
    std::string order;
    tasks.after(2s, [&] { order += 'c'; });
    tasks.after(1s, [&] { order += 'a'; });
    tasks.after(1s, [&] { order += 'b'; });
    tasks.advance(1500ms);
    CHECK(order == "ab");
    tasks.advance(1s);
    CHECK(order == "abc");
}

TEST_CASE("a cancelled timer doesn't run, and a task may cancel or start timers")
{
    virtual_scheduler tasks;
    int runs = 0;
    const timer_id cancelledTimer = tasks.after(2s, [&] { ++runs; });
    tasks.after(1s, [&] {
        tasks.cancel(cancelledTimer);
        tasks.after(1s, [&] { runs += 10; });
    });
    CHECK(tasks.runAll(100) == 2);
    CHECK(runs == 10);
}
