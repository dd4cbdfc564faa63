#include "fake_engines.h"
#include "fake_table.h"
#include "freezable_scheduler.h"
#include "placement/lease.h"
#include "placement/order_keeper.h"

#include "base/json.h"
#include "base/log_event.h"

#include <catch2/catch.hpp>

namespace ivypier::placement::tests {

namespace {

using namespace std::chrono_literals;
using configuration::fencing_check;

constexpr std::uint64_t seeds = 300;
constexpr std::size_t runners = 10;

class steady_duty final : public duty
{
public:
    std::optional<lease> held() const override
    {
        return value;
    }

    std::optional<lease> value = lease{1, 1, time_point::max()};
};

endpoint addressOf(std::size_t index)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(1000 + index)};
}

std::vector<runner> listOf(std::size_t count)
{
    std::vector<runner> list;
    for (std::size_t index = 0; index < count; ++index)
        list.push_back({"runner-" + std::to_string(index), addressOf(index)});
    return list;
}

wanted_state version(const std::string &number, fencing_check fencing = fencing_check::checked)
{
    return {"tariff", "tariff-model", number, "", "", fencing};
}

struct bench
{
    explicit bench(std::uint64_t seed, std::size_t count = runners, const std::string &model = "tariff-model")
        : randomness(seed)
        , fleet(world, randomness)
    {
        configureLog("placement-tests", log_level::error);
        for (std::size_t index = 0; index < count; ++index)
            fleet.add(addressOf(index), model, "1");
        keeper.start();
    }

    virtual_scheduler world;
    seeded_random randomness;
    fake_fleet fleet;
    fake_engine_client engines{world, fleet};
    fake_weight_store weights{world};
    metrics_registry metrics;
    steady_duty permission;
    order_keeper keeper{{world, randomness, engines, weights, permission, metrics}, {}};
};

} // namespace

TEST_CASE("a change of version never takes more than its part of the capacity", "[orders]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        bench run(seed);
        run.fleet.lost = 0.1;
        run.keeper.setWanted(version("2"), listOf(runners));
        run.world.advance(20min);
        REQUIRE(run.fleet.serving("tariff-model", "2") == runners);
        REQUIRE(run.fleet.mostLoading <= 2);
        REQUIRE(run.fleet.mostLoading >= 1);
    }
}

TEST_CASE("one runner alone is changed too", "[orders]")
{
    bench run(1, 1);
    run.keeper.setWanted(version("2"), listOf(1));
    run.world.advance(2min);
    REQUIRE(run.fleet.serving("tariff-model", "2") == 1);
}

TEST_CASE("runners without the service's model load at the weight store's rate", "[orders]")
{
    bench run(1, runners, "");
    run.weights.interval = 30s;
    run.keeper.setWanted(version("1"), listOf(runners));
    run.world.advance(100s);
    REQUIRE(run.fleet.serving("tariff-model", "1") < runners);
    run.world.advance(20min);
    REQUIRE(run.fleet.serving("tariff-model", "1") == runners);
    REQUIRE(run.weights.tooEarly == 0);
    REQUIRE(run.weights.names.front() == "tariff-model@1");
    REQUIRE(run.fleet.taken.size() <= runners * 2);
}

TEST_CASE("without the duty nothing is ordered", "[orders]")
{
    bench run(1);
    run.permission.value.reset();
    run.keeper.setWanted(version("2"), listOf(runners));
    run.world.advance(10min);
    REQUIRE(run.fleet.taken.empty());
}

TEST_CASE("a new holder makes checking engines refuse the earlier one, though nothing differs", "[orders]")
{
    bench run(1);
    run.permission.value = lease{7, 7, time_point::max()};
    run.keeper.setWanted(version("1"), listOf(runners));
    run.world.advance(30s);
    REQUIRE(run.fleet.taken.size() == runners);
    for (std::size_t index = 0; index < runners; ++index)
        REQUIRE_FALSE(run.fleet.take(addressOf(index), {6, "tariff-model", "0", "", ""}));
    REQUIRE(run.weights.names.empty());
    run.world.advance(5min);
    REQUIRE(run.fleet.taken.size() == runners);
}

TEST_CASE("a refused holder stops until its number is higher", "[orders]")
{
    bench run(1);
    for (auto &[address, engine] : run.fleet.engines)
        engine.fencing = 9;
    run.permission.value = lease{5, 5, time_point::max()};
    run.keeper.setWanted(version("2"), listOf(runners));
    run.world.advance(5min);
    REQUIRE(run.fleet.taken.empty());
    run.permission.value = lease{10, 10, time_point::max()};
    run.world.advance(20min);
    REQUIRE(run.fleet.serving("tariff-model", "2") == runners);
}

TEST_CASE("an engine that ignores the number is brought back after an old order", "[orders]")
{
    bench run(1);
    run.fleet.checksFencing = false;
    run.permission.value = lease{7, 7, time_point::max()};
    run.keeper.setWanted(version("2", fencing_check::ignored), listOf(runners));
    run.world.advance(20min);
    REQUIRE(run.fleet.serving("tariff-model", "2") == runners);
    REQUIRE(run.fleet.take(addressOf(3), {6, "tariff-model", "1", "", ""}));
    run.world.advance(2min);
    REQUIRE(run.fleet.serving("tariff-model", "2") == runners);
}

TEST_CASE("many right runners are looked at in turn, at a bounded rate", "[orders]")
{
    constexpr std::size_t many = 1000;
    bench run(1, many);
    run.permission.value = lease{7, 7, time_point::max()};
    run.keeper.setWanted(version("1", fencing_check::ignored), listOf(many));
    run.world.advance(30s);
    const std::size_t before = run.fleet.looks;
    run.world.advance(100s);
    REQUIRE(run.fleet.looks - before <= 4'000);
    REQUIRE(run.fleet.take(addressOf(777), {6, "tariff-model", "0", "", ""}));
    run.world.advance(60s);
    REQUIRE(run.fleet.serving("tariff-model", "1") == many);
}

TEST_CASE("a change of version before many runners is looked after at a bounded rate", "[orders]")
{
    constexpr std::size_t many = 2000;
    bench run(1, many);
    run.weights.interval = 10ms;
    run.keeper.setWanted(version("1"), listOf(many));
    run.world.advance(60s);
    run.keeper.setWanted(version("2"), listOf(many));
    const std::size_t before = run.fleet.looks;
    run.world.advance(100s);
    REQUIRE(run.fleet.looks - before <= 14'000);
    run.world.advance(60min);
    REQUIRE(run.fleet.serving("tariff-model", "2") == many);
    REQUIRE(run.fleet.mostLoading <= many / 5);
}

TEST_CASE("adapter and role are brought to what is wanted", "[orders]")
{
    bench run(1, 3);
    run.keeper.setWanted({"tariff", "tariff-model", "1", "zips", "decode", fencing_check::checked},
                         listOf(3));
    run.world.advance(10min);
    for (const auto &[address, engine] : run.fleet.engines) {
        REQUIRE(engine.load.adapter == "zips");
        REQUIRE(engine.load.role == "decode");
    }
    REQUIRE(run.keeper.rightCount() == 3);
}

TEST_CASE("two planners with leases, freezes and late orders end in the right state", "[orders]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const bool checks = seed % 2 == 0;
        INFO("seed " << seed << (checks ? ", checked" : ", ignored"));
        configureLog("placement-tests", log_level::error);
        virtual_scheduler world;
        seeded_random randomness(seed);
        fake_table table(world, randomness);
        fake_fleet fleet(world, randomness);
        fleet.checksFencing = checks;
        fleet.late = 0.1;
        fleet.lost = 0.1;
        fake_weight_store weights(world);
        metrics_registry metrics;
        for (std::size_t index = 0; index < 5; ++index)
            fleet.add(addressOf(index), "tariff-model", "1");

        struct planner
        {
            planner(virtual_scheduler &world, fake_table &table, fake_fleet &fleet,
                    fake_weight_store &weights, random_source &randomness, metrics_registry &metrics,
                    const std::string &name)
                : process(world)
                , client(process, table)
                , engines(process, fleet)
                , keeper(process, client, "orders/tariff", name, 10s)
                , orders({process, randomness, engines, weights, keeper, metrics}, {})
            {
            }

            freezable_scheduler process;
            fake_table_client client;
            fake_engine_client engines;
            lease_keeper keeper;
            order_keeper orders;
        };
        planner first(world, table, fleet, weights, randomness, metrics, "first");
        planner second(world, table, fleet, weights, randomness, metrics, "second");
        const auto check = checks ? fencing_check::checked : fencing_check::ignored;
        for (planner *each : {&first, &second}) {
            each->orders.setWanted(version("1", check), listOf(5));
            each->keeper.start();
            each->orders.start();
        }
        world.advance(30s);
        for (int change = 2; change <= 4; ++change) {
            planner &holder = first.keeper.held() ? first : second;
            planner &other = &holder == &first ? second : first;
            holder.process.freeze(); // it wakes with the old version wanted
            world.advance(10s);
            other.orders.setWanted(version(std::to_string(change), check), listOf(5));
            world.advance(fromSeconds(60.0 * randomness.uniform()));
            holder.process.wake();
            world.advance(fromSeconds(10.0 * randomness.uniform()));
            holder.orders.setWanted(version(std::to_string(change), check), listOf(5));
            world.advance(60s);
        }
        fleet.late = 0;
        fleet.lost = 0;
        world.advance(10min);
        REQUIRE(fleet.serving("tariff-model", "4") == 5);
        if (!checks)
            continue;
        std::map<endpoint, std::uint64_t> highest;
        std::map<std::uint64_t, std::string> written; // by fencing number
        for (const applied_write &each : table.appliedWrites)
            written[each.row.version] = stringMember(parseJson(each.row.value).value(), "holder");
        for (const taken_order &each : fleet.taken) {
            REQUIRE(each.order.fencing >= highest[each.engine]);
            highest[each.engine] = each.order.fencing;
            REQUIRE(written.contains(each.order.fencing));
        }
    }
}

} // namespace ivypier::placement::tests
