#include "relay/upstream_speed.h"

#include "base/random_source.h"
#include "base/virtual_scheduler.h"

#include <catch2/catch.hpp>

namespace ivypier::relay::tests {

namespace {

using namespace std::chrono_literals;

upstream_record recordOf(const std::string &id)
{
    return {id, "s", {"10.0.0.1", 1}, "hall", 12};
}

/// Records events of several upstreams, each at its pace, for a time.
void run(virtual_scheduler &time, upstream_speed &speeds, const std::map<std::string, double> &gapsMs,
         duration span)
{
    std::map<std::string, double> due;
    for (duration elapsed{}; elapsed < span; elapsed += 10ms) {
        time.advance(10ms);
        for (const auto &[id, gap] : gapsMs) {
            due[id] += 10.0;
            if (due[id] < gap)
                continue;
            speeds.recordEvents(recordOf(id), 3.0, 1, fromSeconds(due[id] / 1000.0));
            due[id] = 0.0;
        }
    }
}

} // namespace

// Guards against speeds that are not learnt.
TEST_CASE("the speeds of upstreams are learnt from the pace of events")
{
    virtual_scheduler time;
    upstream_speed speeds(time);
    run(time, speeds, {{"slow", 50.0}, {"mean", 30.0}, {"fast", 20.0}}, 20s);
    const double ratio = speeds.slowness("slow") / speeds.slowness("fast");
    CHECK(ratio > 2.0);
    CHECK(ratio < 3.0);
    CHECK(speeds.slowness("never called") == 1.0);
}

// Guards against an upstream that is avoided because of single slow calls.
TEST_CASE("calls that take 2.5 times as long by chance make no upstream slow")
{
    virtual_scheduler time;
    seeded_random randomness(11);
    upstream_speed speeds(time);
    run(time, speeds, {{"a", 30.0}, {"b", 30.0}}, 10s);
    for (int call = 0; call < 200; ++call) {
        run(time, speeds, {{"a", randomness.uniform() < 0.15 ? 75.0 : 30.0}, {"b", 30.0}}, 500ms);
        CHECK(speeds.slowdown("a") == 1.0);
        CHECK(speeds.slowness("a") < 1.3);
    }
}

// Guards against a slowdown that is seen too late, and one that is remembered for too long.
TEST_CASE("a slowdown is seen within 1.2 s by the node that has a call there, and ends after it")
{
    virtual_scheduler time;
    upstream_speed speeds(time);
    run(time, speeds, {{"a", 30.0}, {"b", 30.0}}, 10s);
    run(time, speeds, {{"a", 225.0}, {"b", 30.0}}, 1200ms);
    CHECK(speeds.slowdown("a") > 2.0);
    CHECK(speeds.slowdown("b") == 1.0);
    CHECK(speeds.ownSums("a").recent.observed > 0.0);
    run(time, speeds, {{"a", 225.0}, {"b", 30.0}}, 5s);
    CHECK(speeds.slowdown("a") > 2.0);
    run(time, speeds, {{"a", 30.0}, {"b", 30.0}}, 2s);
    CHECK(speeds.slowdown("a") == 1.0);
    CHECK(speeds.slowness("a") < 1.5);
}

// Guards against knowledge that only grows: a node without calls learns from the others and forgets.
TEST_CASE("the sums of other nodes count, and a remote slowdown fades when nobody states it")
{
    virtual_scheduler time;
    upstream_speed speeds(time);
    remote_speed others{{1000.0, 1600.0}, {100.0, 800.0}};
    speeds.setRemote([&](const std::string &) { return others; });
    CHECK(speeds.slowness("a", true) > 1.3);
    CHECK(speeds.slowdown("a") > 2.0);
    others.recent = {};
    time.advance(6s);
    CHECK(speeds.slowdown("a") == 1.0);
}

} // namespace ivypier::relay::tests
