#include "fake_engines.h"
#include "fake_table.h"
#include "freezable_scheduler.h"
#include "placement/lease.h"
#include "placement/runner_controller.h"

#include "base/json.h"
#include "base/log_event.h"

#include <catch2/catch.hpp>

namespace ivypier::placement::tests {

namespace {

using namespace std::chrono_literals;
using configuration::fencing_check;

constexpr std::uint64_t seeds = 300;
constexpr std::size_t runners = 10;

class fixed_duty final : public duty
{
public:
    std::optional<lease> held() const override
    {
        return value;
    }

    std::optional<lease> value = lease{1, 1, time_point::max()};
};

endpoint runnerAddress(std::size_t index)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
}

std::vector<runner> makeRunners(std::size_t count)
{
    std::vector<runner> list;
    for (std::size_t index = 0; index < count; ++index)
        list.push_back({"runner-" + std::to_string(index), runnerAddress(index)});
    return list;
}

desired_state version(const std::string &number, fencing_check fencing = fencing_check::checked)
{
    return {"tariff", "tariff-model", number, "", "", fencing};
}

struct runner_fixture
{
    explicit runner_fixture(std::uint64_t seed, std::size_t count = runners,
                            const std::string &model = "tariff-model")
        : randomness(seed)
        , fleet(world, randomness)
    {
        configureLog("placement-tests", log_level::error);
        for (std::size_t index = 0; index < count; ++index)
            fleet.add(runnerAddress(index), model, "1");
        controller.start();
    }

    virtual_scheduler world;
    seeded_random randomness;
    fake_fleet fleet;
    fake_engine_client engines{world, fleet};
    fake_weight_store weights{world};
    metrics_registry metrics;
    fixed_duty dutyLease;
    runner_controller controller{{world, randomness, engines, weights, dutyLease, metrics}, {}};
};

} // namespace

TEST_CASE("a version change never makes more than the allowed fraction of runners load at once", "[orders]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        runner_fixture fixture(seed);
        fixture.fleet.lossProbability = 0.1;
        fixture.controller.setDesiredState(version("2"), makeRunners(runners));
        fixture.world.advance(20min);
        REQUIRE(fixture.fleet.serving("tariff-model", "2") == runners);
        REQUIRE(fixture.fleet.peakLoading <= 2);
        REQUIRE(fixture.fleet.peakLoading >= 1);
    }
}

TEST_CASE("a single runner is updated too", "[orders]")
{
    runner_fixture fixture(1, 1);
    fixture.controller.setDesiredState(version("2"), makeRunners(1));
    fixture.world.advance(2min);
    REQUIRE(fixture.fleet.serving("tariff-model", "2") == 1);
}

TEST_CASE("runners without the service's model load at the rate of the weight store", "[orders]")
{
    runner_fixture fixture(1, runners, "");
    fixture.weights.interval = 30s;
    fixture.controller.setDesiredState(version("1"), makeRunners(runners));
    fixture.world.advance(100s);
    REQUIRE(fixture.fleet.serving("tariff-model", "1") < runners);
    fixture.world.advance(20min);
    REQUIRE(fixture.fleet.serving("tariff-model", "1") == runners);
    REQUIRE(fixture.weights.earlyRequests == 0);
    REQUIRE(fixture.weights.names.front() == "tariff-model@1");
    REQUIRE(fixture.fleet.acceptedOrders.size() <= runners * 2);
}

TEST_CASE("no order is sent without the lease", "[orders]")
{
    runner_fixture fixture(1);
    fixture.dutyLease.value.reset();
    fixture.controller.setDesiredState(version("2"), makeRunners(runners));
    fixture.world.advance(10min);
    REQUIRE(fixture.fleet.acceptedOrders.empty());
}

TEST_CASE("a new lease holder fences off the earlier one at checking engines even if no state differs",
          "[orders]")
{
    runner_fixture fixture(1);
    fixture.dutyLease.value = lease{7, 7, time_point::max()};
    fixture.controller.setDesiredState(version("1"), makeRunners(runners));
    fixture.world.advance(30s);
    REQUIRE(fixture.fleet.acceptedOrders.size() == runners);
    for (std::size_t index = 0; index < runners; ++index)
        REQUIRE_FALSE(fixture.fleet.acceptOrder(runnerAddress(index), {6, "tariff-model", "0", "", ""}));
    REQUIRE(fixture.weights.names.empty());
    fixture.world.advance(5min);
    REQUIRE(fixture.fleet.acceptedOrders.size() == runners);
}

TEST_CASE("a refused holder sends no orders until its fencing token is higher", "[orders]")
{
    runner_fixture fixture(1);
    for (auto &[address, engine] : fixture.fleet.engines)
        engine.fencingToken = 9;
    fixture.dutyLease.value = lease{5, 5, time_point::max()};
    fixture.controller.setDesiredState(version("2"), makeRunners(runners));
    fixture.world.advance(5min);
    REQUIRE(fixture.fleet.acceptedOrders.empty());
    fixture.dutyLease.value = lease{10, 10, time_point::max()};
    fixture.world.advance(20min);
    REQUIRE(fixture.fleet.serving("tariff-model", "2") == runners);
}

TEST_CASE("an engine that ignores fencing tokens is corrected after a stale order", "[orders]")
{
    runner_fixture fixture(1);
    fixture.fleet.checksFencing = false;
    fixture.dutyLease.value = lease{7, 7, time_point::max()};
    fixture.controller.setDesiredState(version("2", fencing_check::ignored), makeRunners(runners));
    fixture.world.advance(20min);
    REQUIRE(fixture.fleet.serving("tariff-model", "2") == runners);
    REQUIRE(fixture.fleet.acceptOrder(runnerAddress(3), {6, "tariff-model", "1", "", ""}));
    fixture.world.advance(2min);
    REQUIRE(fixture.fleet.serving("tariff-model", "2") == runners);
}

TEST_CASE("many converged runners are polled round-robin at a bounded rate", "[orders]")
{
    constexpr std::size_t many = 1000;
    runner_fixture fixture(1, many);
    fixture.dutyLease.value = lease{7, 7, time_point::max()};
    fixture.controller.setDesiredState(version("1", fencing_check::ignored), makeRunners(many));
    fixture.world.advance(30s);
    const std::size_t before = fixture.fleet.pollCount;
    fixture.world.advance(100s);
    REQUIRE(fixture.fleet.pollCount - before <= 4'000);
    REQUIRE(fixture.fleet.acceptOrder(runnerAddress(777), {6, "tariff-model", "0", "", ""}));
    fixture.world.advance(60s);
    REQUIRE(fixture.fleet.serving("tariff-model", "1") == many);
}

TEST_CASE("many runners are polled at a bounded rate during a version change", "[orders]")
{
    constexpr std::size_t many = 2000;
    runner_fixture fixture(1, many);
    fixture.weights.interval = 10ms;
    fixture.controller.setDesiredState(version("1"), makeRunners(many));
    fixture.world.advance(60s);
    fixture.controller.setDesiredState(version("2"), makeRunners(many));
    const std::size_t before = fixture.fleet.pollCount;
    fixture.world.advance(100s);
    REQUIRE(fixture.fleet.pollCount - before <= 14'000);
    fixture.world.advance(60min);
    REQUIRE(fixture.fleet.serving("tariff-model", "2") == many);
    REQUIRE(fixture.fleet.peakLoading <= many / 5);
}

TEST_CASE("adapter and role are brought to the desired state", "[orders]")
{
    runner_fixture fixture(1, 3);
    fixture.controller.setDesiredState(
        {"tariff", "tariff-model", "1", "zips", "decode", fencing_check::checked}, makeRunners(3));
    fixture.world.advance(10min);
    for (const auto &[address, engine] : fixture.fleet.engines) {
        REQUIRE(engine.load.adapter == "zips");
        REQUIRE(engine.load.role == "decode");
    }
    REQUIRE(fixture.controller.convergedCount() == 3);
}

TEST_CASE("the runners converge despite two planners, freezes and late orders", "[orders]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const bool fencingChecked = seed % 2 == 0;
        INFO("seed " << seed << (fencingChecked ? ", checked" : ", ignored"));
        configureLog("placement-tests", log_level::error);
        virtual_scheduler world;
        seeded_random randomness(seed);
        fake_table table(world, randomness);
        fake_fleet fleet(world, randomness);
        fleet.checksFencing = fencingChecked;
        fleet.lateProbability = 0.1;
        fleet.lossProbability = 0.1;
        fake_weight_store weights(world);
        metrics_registry metrics;
        for (std::size_t index = 0; index < 5; ++index)
            fleet.add(runnerAddress(index), "tariff-model", "1");

        struct planner
        {
            planner(virtual_scheduler &world, fake_table &table, fake_fleet &fleet,
                    fake_weight_store &weights, random_source &randomness, metrics_registry &metrics,
                    const std::string &name)
                : process(world)
                , client(process, table)
                , engines(process, fleet)
                , leaseManager(process, client, "orders/tariff", name, 10s)
                , orders({process, randomness, engines, weights, leaseManager, metrics}, {})
            {
            }

            freezable_scheduler process;
            fake_table_client client;
            fake_engine_client engines;
            lease_manager leaseManager;
            runner_controller orders;
        };
        planner first(world, table, fleet, weights, randomness, metrics, "first");
        planner second(world, table, fleet, weights, randomness, metrics, "second");
        const auto check = fencingChecked ? fencing_check::checked : fencing_check::ignored;
        for (planner *each : {&first, &second}) {
            each->orders.setDesiredState(version("1", check), makeRunners(5));
            each->leaseManager.start();
            each->orders.start();
        }
        world.advance(30s);
        for (int change = 2; change <= 4; ++change) {
            planner &holder = first.leaseManager.held() ? first : second;
            planner &other = &holder == &first ? second : first;
            holder.process.freeze(); // it wakes with the old version as desired state
            world.advance(10s);
            other.orders.setDesiredState(version(std::to_string(change), check), makeRunners(5));
            world.advance(fromSeconds(60.0 * randomness.uniform()));
            holder.process.wake();
            world.advance(fromSeconds(10.0 * randomness.uniform()));
            holder.orders.setDesiredState(version(std::to_string(change), check), makeRunners(5));
            world.advance(60s);
        }
        fleet.lateProbability = 0;
        fleet.lossProbability = 0;
        world.advance(10min);
        REQUIRE(fleet.serving("tariff-model", "4") == 5);
        if (!fencingChecked)
            continue;
        std::map<endpoint, std::uint64_t> highest;
        std::map<std::uint64_t, std::string> written; // by fencing token
        for (const applied_write &each : table.appliedWrites)
            written[each.row.version] = stringMember(parseJson(each.row.value).value(), "holder");
        for (const accepted_order &each : fleet.acceptedOrders) {
            REQUIRE(each.order.fencingToken >= highest[each.engine]);
            highest[each.engine] = each.order.fencingToken;
            REQUIRE(written.contains(each.order.fencingToken));
        }
    }
}

} // namespace ivypier::placement::tests
