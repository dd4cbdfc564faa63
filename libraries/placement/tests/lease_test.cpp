#include "fake_table.h"
#include "freezable_scheduler.h"
#include "placement/lease.h"

#include "base/json.h"
#include "base/log_event.h"

#include <catch2/catch.hpp>

#include <memory>

namespace ivypier::placement::tests {

namespace {

using namespace std::chrono_literals;

constexpr duration term = 10s;
constexpr duration margin = 2s;
constexpr std::size_t candidates = 3;
constexpr std::uint64_t seeds = 1000;

/// An order at the time it was sent.
struct sent_order
{
    std::size_t sender = 0;
    std::uint64_t fencingToken = 0;
    time_point at{};
};

/// Candidates for one duty that send orders while they hold the lease, and an engine that checks fencing
/// numbers.
struct lease_simulation
{
    explicit lease_simulation(std::uint64_t seed)
        : randomness(seed)
        , table(world, randomness)
    {
        configureLog("placement-tests", log_level::error);
        for (std::size_t index = 0; index < candidates; ++index) {
            processes.push_back(std::make_unique<freezable_scheduler>(world));
            clients.push_back(std::make_unique<fake_table_client>(*processes[index], table));
            managers.push_back(std::make_unique<lease_manager>(*processes[index], *clients[index],
                                                               "orders/tariff",
                                                               "planner-" + std::to_string(index), term));
            managers[index]->start();
            sendOrders(index);
        }
    }

    void sendOrders(std::size_t index)
    {
        if (const auto held = managers[index]->held()) {
            const sent_order order{index, held->fencingToken, world.now()};
            sent.push_back(order);
            const duration latency
                = fromSeconds(randomness.uniform() * (randomness.uniform() < 0.1 ? 30.0 : 0.1));
            world.after(latency, [this, order] { receiveOrder(order); });
        }
        processes[index]->after(fromSeconds(0.2 + 0.2 * randomness.uniform()),
                                [this, index] { sendOrders(index); });
    }

    void receiveOrder(const sent_order &order)
    {
        if (order.fencingToken < highest)
            return;
        highest = order.fencingToken;
        accepted.push_back(order);
    }

    /// Injects random freezes, table faults and outages for ten minutes.
    void injectFaults()
    {
        for (int step = 0; step < 120; ++step) {
            const std::size_t index = randomness.index(candidates);
            const double draw = randomness.uniform();
            if (draw < 0.25)
                processes[index]->freeze();
            else if (draw < 0.5 && processes[index]->frozen())
                processes[index]->wake();
            else if (draw < 0.6)
                table.faults = {0.1, 0.2, 0.2, 4s, false};
            else if (draw < 0.65)
                table.faults.down = true;
            else if (draw < 0.8)
                table.faults = {};
            world.advance(5s);
        }
    }

    /// Ends all faults and freezes and waits for five terms.
    void recover()
    {
        table.faults = {};
        for (const auto &each : processes)
            each->wake();
        world.advance(term * 5);
    }

    /// Returns the holder that a change wrote into the row.
    static std::string holderOf(const applied_write &change)
    {
        return stringMember(parseJson(change.row.value).value(), "holder");
    }

    /// Counts the orders sent after another candidate took over, or within the margin before, going by the
    /// changes that the table recorded.
    std::size_t countLateOrders() const
    {
        std::map<std::uint64_t, const applied_write *>
            nextTakeover; // by version: the first change by another holder
        const applied_write *next = nullptr;
        for (std::size_t each = table.appliedWrites.size(); each-- > 0;) {
            const applied_write &change = table.appliedWrites[each];
            if (each + 1 < table.appliedWrites.size()
                && holderOf(table.appliedWrites[each + 1]) != holderOf(change))
                next = &table.appliedWrites[each + 1];
            nextTakeover[change.row.version] = next;
        }
        std::size_t count = 0;
        for (const sent_order &order : sent) {
            const applied_write *taken = nextTakeover.at(order.fencingToken);
            if (!taken || holderOf(*taken).empty()) // released: another candidate may acquire it at once
                continue;
            count += order.at + margin > taken->at ? 1 : 0;
        }
        return count;
    }

    /// Counts the orders that the engine accepted from a holder after an order of a later holder, or whose
    /// fencing token was not their sender's.
    std::size_t countStaleOrders() const
    {
        std::map<std::uint64_t, std::pair<std::size_t, std::string>> termsByVersion; // term number and holder
        std::size_t termNumber = 0;
        std::string holder;
        for (const applied_write &change : table.appliedWrites) {
            termNumber += std::exchange(holder, holderOf(change)) != holder ? 1 : 0;
            termsByVersion[change.row.version] = {termNumber, holder};
        }
        std::size_t latest = 0;
        std::size_t count = 0;
        for (const sent_order &order : accepted) {
            const auto &[number, name] = termsByVersion.at(order.fencingToken);
            count += name != "planner-" + std::to_string(order.sender) || number < latest ? 1 : 0;
            latest = std::max(latest, number);
        }
        return count;
    }

    std::size_t holderCount() const
    {
        std::size_t count = 0;
        for (const auto &each : managers)
            count += each->held() ? 1 : 0;
        return count;
    }

    virtual_scheduler world;
    seeded_random randomness;
    fake_table table;
    std::vector<std::unique_ptr<freezable_scheduler>> processes;
    std::vector<std::unique_ptr<fake_table_client>> clients;
    std::vector<std::unique_ptr<lease_manager>> managers;
    std::vector<sent_order> sent;
    std::vector<sent_order> accepted;
    std::uint64_t highest = 0;
};

} // namespace

TEST_CASE("a lease has one holder and no order is late or stale under faults", "[lease]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        lease_simulation simulation(seed);
        simulation.injectFaults();
        simulation.recover();
        REQUIRE(simulation.countLateOrders() == 0);
        REQUIRE(simulation.countStaleOrders() == 0);
        REQUIRE(simulation.holderCount() == 1);
    }
}

TEST_CASE("a holder that wakes after its lease expired sends no order", "[lease]")
{
    lease_simulation simulation(1);
    simulation.world.advance(5s);
    REQUIRE(simulation.holderCount() == 1);
    std::size_t holder = 0;
    while (!simulation.managers[holder]->held())
        ++holder;
    simulation.processes[holder]->freeze();
    simulation.world.advance(term * 3);
    const std::size_t before = simulation.sent.size();
    REQUIRE_FALSE(simulation.managers[holder]->held());
    simulation.processes[holder]->wake();
    simulation.world.advance(1s);
    for (std::size_t index = before; index < simulation.sent.size(); ++index)
        REQUIRE(simulation.sent[index].sender != holder);
    REQUIRE(simulation.countLateOrders() == 0);
}

TEST_CASE("a write whose response is lost is resolved by reading the row", "[lease]")
{
    lease_simulation simulation(2);
    simulation.table.faults.lostAnswer = 1.0;
    simulation.world.advance(3s);
    simulation.table.faults = {};
    simulation.world.advance(5s);
    REQUIRE(simulation.holderCount() == 1);
    REQUIRE(simulation.table.appliedWrites.front().row.version == 1);
    REQUIRE(simulation.countLateOrders() == 0);
}

TEST_CASE("a slow read does not backdate another holder's renewal", "[lease]")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        lease_simulation simulation(seed);
        simulation.world.advance(3s);
        simulation.table.faults.maxDelay = 1900ms;
        simulation.table.faults.lateCall = 0.1;
        simulation.world.advance(120s);
        REQUIRE(simulation.countLateOrders() == 0);
    }
}

TEST_CASE("no order is sent while the table is down for longer than a term", "[lease]")
{
    lease_simulation simulation(3);
    simulation.world.advance(5s);
    simulation.table.faults.down = true;
    simulation.world.advance(term);
    const std::size_t before = simulation.sent.size();
    simulation.world.advance(600s);
    REQUIRE(simulation.sent.size() == before);
    simulation.table.faults.down = false;
    simulation.world.advance(term * 3);
    REQUIRE(simulation.holderCount() == 1);
    REQUIRE(simulation.sent.size() > before);
}

TEST_CASE("a released lease can be acquired at once, even when a response is lost", "[lease]")
{
    for (const double lost : {0.0, 1.0}) {
        lease_simulation simulation(4);
        simulation.world.advance(5s);
        std::size_t holder = 0;
        while (!simulation.managers[holder]->held())
            ++holder;
        simulation.table.faults.lostAnswer = lost;
        bool released = false;
        simulation.managers[holder]->release([&] { released = true; });
        REQUIRE_FALSE(simulation.managers[holder]->held());
        simulation.world.advance(1s);
        simulation.table.faults = {};
        simulation.world.advance(7s);
        REQUIRE(released);
        REQUIRE(simulation.holderCount() == 1);
        REQUIRE_FALSE(simulation.managers[holder]->held());
    }
}

TEST_CASE(
    "a process restarted under the same name takes over its own lease at once, with a new fencing token",
    "[lease]")
{
    lease_simulation simulation(5);
    simulation.world.advance(30s);
    const std::size_t holder = simulation.sent.back().sender;
    const std::uint64_t before = simulation.managers[holder]->held()->tenure;
    simulation.processes[holder]->freeze(); // killed
    freezable_scheduler process(simulation.world);
    fake_table_client client(process, simulation.table);
    lease_manager restarted(process, client, "orders/tariff", "planner-" + std::to_string(holder), term,
                            1000);
    restarted.start();
    simulation.world.advance(1s);
    REQUIRE(restarted.held());
    CHECK(restarted.held()->tenure > before);
}

TEST_CASE("an ineligible process does not acquire a free lease and keeps a held one", "[lease]")
{
    lease_simulation simulation(5);
    simulation.world.advance(5s);
    for (const auto &each : simulation.managers)
        each->setEligible(false);
    simulation.world.advance(30s);
    REQUIRE(simulation.holderCount() == 1);
    std::size_t released = 0;
    while (!simulation.managers[released]->held())
        ++released;
    simulation.managers[released]->release();
    simulation.world.advance(30s);
    REQUIRE(simulation.holderCount() == 0);
    const std::size_t other = released == 0 ? 1 : 0;
    simulation.managers[other]->setEligible(true);
    simulation.world.advance(30s);
    REQUIRE(simulation.managers[other]->held());
}

} // namespace ivypier::placement::tests
