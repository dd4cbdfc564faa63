#include "base/log_event.h"
#include "base/steady_wall_clock.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace std::chrono_literals;

namespace {

class manual_clock final : public clock
{
public:
    time_point now() const override
    {
        return monotonic;
    }
    std::int64_t wallMilliseconds() const override
    {
        return milliseconds(monotonic.time_since_epoch()) + offset;
    }

    time_point monotonic{100s};
    std::int64_t offset = 1'000'000;
};

} // namespace

TEST_CASE("drift of the wall clock is applied at once, a step only after it has lasted")
{
    configureLog("tests", log_level::error);
    manual_clock source;
    steady_wall_clock wall(source);
    const auto expected
        = [&](std::int64_t offset) { return milliseconds(source.monotonic.time_since_epoch()) + offset; };
    CHECK(wall.milliseconds() == expected(1'000'000));
    source.offset += 20;
    CHECK(wall.milliseconds() == expected(1'000'020));
    source.offset += 3000;
    source.monotonic += 10s;
    CHECK(wall.milliseconds() == expected(1'000'020));
    source.offset -= 3000;
    CHECK(wall.milliseconds() == expected(1'000'020));
    source.offset -= 5000;
    CHECK(wall.milliseconds() == expected(1'000'020));
    source.monotonic += step_acceptance_delay + 1s;
    CHECK(wall.milliseconds() == expected(995'020));
}
