#include "placement/demand_estimate.h"
#include "placement/demand_sampler.h"
#include "placement/duty_candidates.h"
#include "placement/start_record.h"

#include "base/virtual_scheduler.h"

#include <catch2/catch.hpp>

namespace ivypier::placement::tests {

using namespace std::chrono_literals;

TEST_CASE("rates need two readings of the same incarnation", "[demand]")
{
    virtual_scheduler world;
    demand_sampler sampler(world, 30s);
    world.advance(1s);
    sampler.setNodeCount(1);
    sampler.addCounters("node-1", {"a", {{"tariff", {100.0, 1000.0}}}});
    REQUIRE_FALSE(sampler.observed("tariff"));
    world.advance(10s);
    sampler.addCounters("node-1", {"a", {{"tariff", {150.0, 3000.0}}}});
    REQUIRE(sampler.observed("tariff") == service_demand{5.0, 200.0});
    world.advance(10s);
    sampler.addCounters("node-1", {"b", {{"tariff", {3.0, 0.0}}}});
    REQUIRE_FALSE(sampler.observed("tariff"));
    world.advance(10s);
    sampler.addCounters("node-1", {"b", {{"tariff", {13.0, 0.0}}}});
    REQUIRE(sampler.observed("tariff") == service_demand{1.0, 0.0});
    REQUIRE(sampler.observed("rates") == service_demand{0.0, 0.0});
    world.advance(31s);
    REQUIRE_FALSE(sampler.observed("tariff"));
}

TEST_CASE("rates of a sample of the nodes are extrapolated to all nodes", "[demand]")
{
    virtual_scheduler world;
    demand_sampler sampler(world, 30s);
    world.advance(1s);
    sampler.setNodeCount(100);
    for (int round = 0; round < 2; ++round) {
        for (int node = 0; node < 10; ++node)
            sampler.addCounters("node-" + std::to_string(node), {"a", {{"tariff", {10.0 * round, 0.0}}}});
        world.advance(10s);
    }
    REQUIRE(sampler.observed("tariff")->requestsPerSecond == Approx(100.0));
}

TEST_CASE("the estimate rises quickly, falls slowly and includes headroom", "[demand]")
{
    demand_estimate estimate({.headroom = 0.1});
    REQUIRE_FALSE(estimate.plannedRate());
    time_point now{};
    estimate.observe(now, 10.0);
    REQUIRE(*estimate.plannedRate() >= 11.0);
    REQUIRE(*estimate.plannedRate() <= 11.0 * 1.02 + 1e-9);
    estimate.observe(now += 60s, 100.0);
    REQUIRE(*estimate.plannedRate() >= 100.0);
    estimate.observe(now += 30s, 10.0);
    REQUIRE(*estimate.plannedRate() >= 100.0);
    estimate.observe(now += 60min, 10.0);
    REQUIRE(*estimate.plannedRate() <= 12.0);
}

TEST_CASE("all planners agree on the candidates of a duty", "[candidates]")
{
    std::vector<std::string> planners;
    for (int index = 0; index < 100; ++index)
        planners.push_back("node-" + std::to_string(index));
    for (int duty = 0; duty < 100; ++duty) {
        std::size_t count = 0;
        for (const std::string &each : planners)
            count += isCandidate("orders/" + std::to_string(duty), each, planners, 3) ? 1 : 0;
        REQUIRE(count == 3);
    }
    REQUIRE(isCandidate("orders/tariff", "new", {}, 3));
}

TEST_CASE("a start record decodes what it encoded and rejects other text", "[record]")
{
    start_record record;
    record.nextToken = 7;
    record.pending = {{"tariff-3-6", {"a", "small", cloud::vm_kind::on_demand}}};
    REQUIRE(start_record::decode(record.encode()).value() == record);
    REQUIRE_FALSE(start_record::decode("[]"));
    REQUIRE_FALSE(start_record::decode("nonsense"));
}

} // namespace ivypier::placement::tests
