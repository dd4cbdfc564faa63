#include "requests/cost_meter.h"

#include "base/virtual_scheduler.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace std::chrono_literals;

TEST_CASE("concurrent attempts share their upstream's price, and their total is the price of the busy time")
{
    virtual_scheduler tasks;
    requests::cost_meter meter(tasks);
    const endpoint runner{"10.0.0.1", 80};
    meter.recordStart("a", runner, 3600.0); // one currency unit per second
    tasks.advance(10s);
    meter.recordStart("b", runner, 3600.0);
    tasks.advance(4s);
    CHECK(meter.recordEnd("a") == Approx(12.0));
    tasks.advance(1s);
    CHECK(meter.recordEnd("b") == Approx(3.0));
}

TEST_CASE("idle time is charged to no request, and an unknown attempt costs nothing")
{
    virtual_scheduler tasks;
    requests::cost_meter meter(tasks);
    const endpoint runner{"10.0.0.1", 80};
    meter.recordStart("a", runner, 3600.0);
    CHECK(meter.recordEnd("a") == 0.0);
    tasks.advance(100s);
    meter.recordStart("b", runner, 3600.0);
    tasks.advance(1s);
    CHECK(meter.recordEnd("b") == Approx(1.0));
    CHECK(meter.recordEnd("b") == 0.0);
}
