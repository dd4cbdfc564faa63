#include "fake_cloud.h"
#include "fake_table.h"
#include "freezable_scheduler.h"
#include "placement/capacity_controller.h"
#include "placement/cheapest_mix.h"
#include "placement/lease.h"

#include "base/log_event.h"

#include <catch2/catch.hpp>

namespace ivypier::placement::tests {

namespace {

using namespace std::chrono_literals;
using cloud::vm_kind;

constexpr std::uint64_t seeds = 200;

struct planner
{
    planner(virtual_scheduler &world, fake_table &table, fake_cloud &cloud, const fake_demand &demand,
            random_source &randomness, const std::string &name, double budget)
        : process(world)
        , client(process, table)
        , cloudClient(process, cloud)
        , leaseManager(process, client, "capacity/tariff", name, 10s)
        , capacity({process, randomness, client, cloudClient, demand, policy, leaseManager, metrics},
                   {"tariff", budget, 0.0, {{"small", 4.0, 0.0}}}, {})
    {
        leaseManager.start();
        capacity.start();
    }

    freezable_scheduler process;
    fake_table_client client;
    fake_cloud_client cloudClient;
    cheapest_mix policy{{}};
    metrics_registry metrics;
    lease_manager leaseManager;
    capacity_controller capacity;
};

/// Three domains, one machine class and a planned demand of about 40 requests per second: 15 VMs carry it
/// after the loss of any domain.
struct capacity_fixture
{
    explicit capacity_fixture(std::uint64_t seed, double budgetPerHour = 100.0)
        : randomness(seed)
        , table(world, randomness)
        , cloud(world, randomness)
        , budget(budgetPerHour)
    {
        configureLog("placement-tests", log_level::error);
        for (const char *domain : {"a", "b", "c"}) {
            cloud.prices[{domain, "small", vm_kind::reclaimable}] = 0.4;
            cloud.prices[{domain, "small", vm_kind::on_demand}] = 1.0;
        }
        demand.value = service_demand{36.0, 0.0};
        add();
    }

    planner &add()
    {
        planners.push_back(std::make_unique<planner>(world, table, cloud, demand, randomness,
                                                     "planner-" + std::to_string(planners.size()), budget));
        return *planners.back();
    }

    virtual_scheduler world;
    seeded_random randomness;
    fake_table table;
    fake_cloud cloud;
    fake_demand demand;
    double budget;
    std::vector<std::unique_ptr<planner>> planners;
};

} // namespace

TEST_CASE("the VMs of the mix are started exactly once although the VM list lags", "[capacity]")
{
    capacity_fixture fixture(1);
    fixture.cloud.listLag = 30s;
    fixture.world.advance(20min);
    REQUIRE(fixture.cloud.live() == 15);
    REQUIRE(fixture.cloud.started == 15);
    for (const auto &[domain, count] : fixture.cloud.liveByDomain())
        REQUIRE(count == 5);
}

TEST_CASE("no VM is started twice when planners die between order and response", "[capacity]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        capacity_fixture fixture(seed);
        fixture.cloud.lossProbability = 0.2;
        fixture.table.faults.lostAnswer = 0.1;
        fixture.cloud.listLag = 10s;
        for (int deaths = 0; deaths < 4; ++deaths) {
            fixture.add();
            fixture.world.advance(fromSeconds(40.0 * fixture.randomness.uniform()));
            for (const auto &each : fixture.planners) {
                if (each->leaseManager.held())
                    each->process.freeze(); // never woken again: the process died
            }
        }
        fixture.add();
        fixture.world.advance(20min);
        REQUIRE(fixture.cloud.live() == 15);
        REQUIRE(fixture.cloud.started == 15);
    }
}

TEST_CASE("a planner that resumes after a freeze does not undo the work of its successor", "[capacity]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        capacity_fixture fixture(seed);
        fixture.world.advance(fromSeconds(10.0 * fixture.randomness.uniform()));
        fixture.planners[0]->process.freeze();
        fixture.add();
        fixture.world.advance(3min);
        fixture.planners[0]->process.wake();
        fixture.world.advance(10min);
        REQUIRE(fixture.cloud.live() == 15);
        REQUIRE(fixture.cloud.started == 15);
    }
}

TEST_CASE("the remaining domains carry the demand after reclaims and refused starts", "[capacity]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        capacity_fixture fixture(seed);
        fixture.world.advance(10min);
        fixture.cloud.refuses = [](const vm_type &type) {
            return type.failureDomain == "a"
                || (type.failureDomain == "b" && type.kind == vm_kind::reclaimable);
        };
        fixture.cloud.reclaim(30s, [](const cloud::vm_record &vm) { return vm.failureDomain == "a"; });
        fixture.world.advance(15min);
        const auto live = fixture.cloud.liveByDomain();
        REQUIRE(live.at("b") * 4.0 >= 39.0);
        REQUIRE(live.at("c") * 4.0 >= 39.0);
        REQUIRE(fixture.cloud.refusals < 400);
        fixture.cloud.refuses = nullptr;
        fixture.world.advance(60min);
        REQUIRE(fixture.cloud.live() == 15);
    }
}

TEST_CASE("a short lull releases no VM, a lasting drop in demand releases the surplus", "[capacity]")
{
    capacity_fixture fixture(1);
    fixture.world.advance(10min);
    fixture.demand.value = service_demand{4.0, 0.0};
    fixture.world.advance(20s);
    fixture.demand.value = service_demand{36.0, 0.0};
    fixture.world.advance(10min);
    REQUIRE(fixture.cloud.live() == 15);
    REQUIRE(fixture.cloud.started == 15);
    fixture.demand.value = service_demand{4.0, 0.0};
    fixture.world.advance(90min);
    REQUIRE(fixture.cloud.live() <= 4);
    REQUIRE(fixture.cloud.live() >= 2);
}

TEST_CASE("no VM is released while the demand is unknown", "[capacity]")
{
    capacity_fixture fixture(1);
    fixture.world.advance(10min);
    fixture.demand.value.reset();
    fixture.world.advance(60min);
    REQUIRE(fixture.cloud.live() == 15);
}

TEST_CASE("the budget is never exceeded and the missed target is reported", "[capacity]")
{
    capacity_fixture fixture(1, 4.0);
    for (int minute = 0; minute < 60; ++minute) {
        fixture.world.advance(1min);
        REQUIRE(fixture.cloud.started * 0.4 <= 4.0);
    }
    REQUIRE(fixture.cloud.live() == 9);
    REQUIRE(fixture.planners[0]->metrics.value("ivypier_placement_target_missed", {{"service", "tariff"}})
            == 1.0);
}

TEST_CASE("no VM is started while the table is down, and all are started afterwards", "[capacity]")
{
    capacity_fixture fixture(1);
    fixture.table.faults.down = true;
    fixture.world.advance(10min);
    REQUIRE(fixture.cloud.started == 0);
    fixture.table.faults.down = false;
    fixture.world.advance(10min);
    REQUIRE(fixture.cloud.live() == 15);
}

TEST_CASE("VMs move to much cheaper domains without a gap in capacity", "[capacity]")
{
    capacity_fixture fixture(1);
    fixture.world.advance(10min);
    for (const char *domain : {"d", "e", "f"})
        fixture.cloud.prices[{domain, "small", vm_kind::reclaimable}] = 0.1;
    for (int minute = 0; minute < 60; ++minute) {
        fixture.world.advance(1min);
        REQUIRE(fixture.cloud.live() >= 12);
    }
    const auto live = fixture.cloud.liveByDomain();
    REQUIRE(live.at("d") + live.at("e") + live.at("f") == fixture.cloud.live());
}

} // namespace ivypier::placement::tests
