#include "base/event_loop.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace ivypier;

TEST_CASE("tasks run in the order in which they were posted, whichever threads posted them")
{
    event_loop loop;
    std::string order;
    std::promise<void> ownPosted;
    std::promise<void> otherPosted;
    std::thread other([&] {
        ownPosted.get_future().wait();
        loop.post([&] {
            order += 'b';
            loop.stop();
        });
        otherPosted.set_value();
    });
    loop.post([&] {
        loop.post([&] { order += 'a'; });
        ownPosted.set_value();
        otherPosted.get_future().wait(); // both tasks are posted before the loop continues
    });
    loop.run();
    other.join();
    CHECK(order == "ab");
}

TEST_CASE("stop() ends the loop after the current task, and the remaining tasks run at the next run()")
{
    event_loop loop;
    std::string order;
    loop.post([&] {
        order += 'a';
        loop.stop();
    });
    loop.post([&] {
        order += 'b';
        loop.stop();
    });
    loop.run();
    CHECK(order == "a");
    loop.run();
    CHECK(order == "ab");
}
