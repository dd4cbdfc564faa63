#include "fake_cloud.h"
#include "fake_table.h"
#include "freezable_scheduler.h"
#include "placement/capacity_keeper.h"
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
        , keeper(process, client, "capacity/tariff", name, 10s)
        , capacity({process, randomness, client, cloudClient, demand, policy, keeper, metrics},
                   {"tariff", budget, 0.0, {{"small", 4.0, 0.0}}}, {})
    {
        keeper.start();
        capacity.start();
    }

    freezable_scheduler process;
    fake_table_client client;
    fake_cloud_client cloudClient;
    cheapest_mix policy{{}};
    metrics_registry metrics;
    lease_keeper keeper;
    capacity_keeper capacity;
};

/// Three domains, one class, 40 requests a second: 15 VMs of which any domain may go.
struct bench
{
    explicit bench(std::uint64_t seed, double budgetPerHour = 100.0)
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

TEST_CASE("the VMs of the mix are started, once each, though the list lags", "[capacity]")
{
    bench run(1);
    run.cloud.listLag = 30s;
    run.world.advance(20min);
    REQUIRE(run.cloud.live() == 15);
    REQUIRE(run.cloud.started == 15);
    for (const auto &[domain, count] : run.cloud.liveByDomain())
        REQUIRE(count == 5);
}

TEST_CASE("planners that die between order and answer start nothing twice", "[capacity]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        bench run(seed);
        run.cloud.lost = 0.2;
        run.table.faults.lostAnswer = 0.1;
        run.cloud.listLag = 10s;
        for (int deaths = 0; deaths < 4; ++deaths) {
            run.add();
            run.world.advance(fromSeconds(40.0 * run.randomness.uniform()));
            for (const auto &each : run.planners) {
                if (each->keeper.held())
                    each->process.freeze(); // and never woken: it is dead
            }
        }
        run.add();
        run.world.advance(20min);
        REQUIRE(run.cloud.live() == 15);
        REQUIRE(run.cloud.started == 15);
    }
}

TEST_CASE("a frozen planner that wakes does not undo what its successor did", "[capacity]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        bench run(seed);
        run.world.advance(fromSeconds(10.0 * run.randomness.uniform()));
        run.planners[0]->process.freeze();
        run.add();
        run.world.advance(3min);
        run.planners[0]->process.wake();
        run.world.advance(10min);
        REQUIRE(run.cloud.live() == 15);
        REQUIRE(run.cloud.started == 15);
    }
}

TEST_CASE("after a wave of reclaims with refused starts the demand is carried by what is left", "[capacity]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        bench run(seed);
        run.world.advance(10min);
        run.cloud.refuses = [](const vm_type &type) {
            return type.failureDomain == "a"
                || (type.failureDomain == "b" && type.kind == vm_kind::reclaimable);
        };
        run.cloud.reclaim(30s, [](const cloud::vm_record &vm) { return vm.failureDomain == "a"; });
        run.world.advance(15min);
        const auto live = run.cloud.liveByDomain();
        REQUIRE(live.at("b") * 4.0 >= 39.0);
        REQUIRE(live.at("c") * 4.0 >= 39.0);
        REQUIRE(run.cloud.refusals < 400);
        run.cloud.refuses = nullptr;
        run.world.advance(60min);
        REQUIRE(run.cloud.live() == 15);
    }
}

TEST_CASE("a lull releases nothing, a lasting fall releases the surplus after its notice", "[capacity]")
{
    bench run(1);
    run.world.advance(10min);
    run.demand.value = service_demand{4.0, 0.0};
    run.world.advance(20s);
    run.demand.value = service_demand{36.0, 0.0};
    run.world.advance(10min);
    REQUIRE(run.cloud.live() == 15);
    REQUIRE(run.cloud.started == 15);
    run.demand.value = service_demand{4.0, 0.0};
    run.world.advance(90min);
    REQUIRE(run.cloud.live() <= 4);
    REQUIRE(run.cloud.live() >= 2);
}

TEST_CASE("unknown demand releases nothing", "[capacity]")
{
    bench run(1);
    run.world.advance(10min);
    run.demand.value.reset();
    run.world.advance(60min);
    REQUIRE(run.cloud.live() == 15);
}

TEST_CASE("the budget is never passed, and the missed target is shown", "[capacity]")
{
    bench run(1, 4.0);
    for (int minute = 0; minute < 60; ++minute) {
        run.world.advance(1min);
        REQUIRE(run.cloud.started * 0.4 <= 4.0);
    }
    REQUIRE(run.cloud.live() == 9);
    REQUIRE(run.planners[0]->metrics.value("ivypier_placement_target_missed", {{"service", "tariff"}})
            == 1.0);
}

TEST_CASE("nothing is started while the table is down, and all of it afterwards", "[capacity]")
{
    bench run(1);
    run.table.faults.down = true;
    run.world.advance(10min);
    REQUIRE(run.cloud.started == 0);
    run.table.faults.down = false;
    run.world.advance(10min);
    REQUIRE(run.cloud.live() == 15);
}

TEST_CASE("a much cheaper domain takes over without a gap", "[capacity]")
{
    bench run(1);
    run.world.advance(10min);
    for (const char *domain : {"d", "e", "f"})
        run.cloud.prices[{domain, "small", vm_kind::reclaimable}] = 0.1;
    for (int minute = 0; minute < 60; ++minute) {
        run.world.advance(1min);
        REQUIRE(run.cloud.live() >= 12);
    }
    const auto live = run.cloud.liveByDomain();
    REQUIRE(live.at("d") + live.at("e") + live.at("f") == run.cloud.live());
}

} // namespace ivypier::placement::tests
