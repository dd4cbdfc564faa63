#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "delivery/rollout_controller.h"
#include "fake_status_table.h"
#include "fake_table.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::delivery;
using namespace ivypier::delivery::tests;
using namespace std::chrono_literals;

namespace {

/// A holder of the duties on the shared table, with evidence of steady calls.
struct fixture
{
    struct holder
    {
        holder(fixture &owner)
            : table(owner.time, owner.store)
            , statusTable(table)
            , controller(owner.time, table, statusTable, [&owner](const rollout_status &status) {
                owner.stated.push_back({owner.time.now(), status});
            })
        {
        }
        placement::tests::fake_table_client table;
        fake_status_table statusTable;
        rollout_controller controller;
    };
    struct statement
    {
        time_point at{};
        rollout_status status;
    };

    fixture()
    {
        configureLog("tests", log_level::error);
        for (const char *service : {"a", "b"})
            upstreams[service] = {4, 4, 0};
    }

    /// Polls for a while; every 100 ms the old version serves 30 calls, the target its share of them.
    void run(holder &active, std::uint64_t token, duration span)
    {
        for (duration passed{}; passed < span; passed += 100ms) {
            for (const auto &[service, upstream] : upstreams) {
                for (const std::uint64_t order : {7, 8, 9}) {
                    const double share = upstream.target > 0 ? shareOf(service) : 0.0;
                    record({service, order, version_class::target, "r"}, static_cast<int>(30 * share + 0.5),
                           targetFailures);
                    record({service, order, version_class::other, "r"}, static_cast<int>(30 * (1 - share)),
                           0.0);
                }
            }
            active.controller.poll({token, evidence, 400ms, upstreams});
            time.advance(100ms);
        }
    }

    void record(const evidence_key &key, int calls, double failures)
    {
        for (int index = 0; index < calls; ++index) {
            evidence.recordStart(key);
            if (index < calls * failures)
                evidence.recordFailure(key, false);
            else
                evidence.recordFirstEvent(key, 100ms);
        }
    }

    double shareOf(const std::string &service) const
    {
        for (auto each = stated.rbegin(); each != stated.rend(); ++each) {
            if (each->status.service == service)
                return each->status.state == rollout_state::rolled_back ? 0.0 : each->status.share;
        }
        return 0.0;
    }

    std::optional<statement> firstStated(const std::string &service, rollout_state state) const
    {
        for (const statement &each : stated) {
            if (each.status.service == service && each.status.state == state)
                return each;
        }
        return std::nullopt;
    }

    std::optional<rollout_status_row> statusRow(const std::string &service = "a") const
    {
        const auto row = store.find("status/" + service);
        return row ? std::optional(fake_status_table::decode(*row)) : std::nullopt;
    }

    /// Returns the time at which a status was written first.
    std::optional<time_point> writtenAt(const std::string &service, rollout_state state) const
    {
        for (const auto &each : store.appliedWrites) {
            if (each.row.key == "status/" + service && fake_status_table::decode(each.row).state == state)
                return each.at;
        }
        return std::nullopt;
    }

    rollout_order order(std::uint64_t version = 7, const std::string &service = "a") const
    {
        return {service, "v2", 12s, version, time.now()};
    }

    virtual_scheduler time;
    seeded_random randomness{11};
    placement::tests::fake_table store{time, randomness};
    std::vector<statement> stated;
    version_evidence evidence;
    std::map<std::string, rollout_upstreams> upstreams;
    double targetFailures = 0.0;
};

} // namespace

TEST_CASE("a good version is completed in time, and this is told after it is written")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 2s);
    CHECK(test.statusRow()->state == rollout_state::in_progress);
    test.run(holder, 1, 10s);
    REQUIRE(test.statusRow()->state == rollout_state::completed);
    const auto told = test.firstStated("a", rollout_state::completed);
    REQUIRE(told);
    CHECK(told->at >= *test.writtenAt("a", rollout_state::completed));
    CHECK(told->at <= time_point(12s));
}

TEST_CASE("a bad version is rolled back, and this is told before it is written")
{
    fixture test;
    test.targetFailures = 0.5;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 12s);
    REQUIRE(test.statusRow()->state == rollout_state::rolled_back);
    CHECK(test.firstStated("a", rollout_state::rolled_back)->at
          <= *test.writtenAt("a", rollout_state::rolled_back));
}

TEST_CASE("a rollback does not wait for a store that does not answer")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 1s);
    test.store.faults.lostRequest = 1.0;
    test.targetFailures = 0.5;
    test.run(holder, 1, 9s);
    CHECK(test.firstStated("a", rollout_state::rolled_back));
    CHECK(test.statusRow()->state == rollout_state::in_progress);
    test.store.faults.lostRequest = 0.0;
    test.run(holder, 1, 5s);
    CHECK(test.statusRow()->state == rollout_state::rolled_back);
}

TEST_CASE("statements go on from memory while the store does not answer")
{
    // Permissions end after 1.5 s; a longer pause would stop the rollout.
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 1s);
    test.store.faults.lostRequest = 1.0;
    const std::size_t before = test.stated.size();
    test.run(holder, 1, 6s);
    REQUIRE(test.stated.size() > before);
    for (std::size_t index = before; index < test.stated.size(); ++index)
        CHECK(test.stated[index].at - test.stated[index - 1].at <= 500ms);
}

TEST_CASE("a completion whose response is lost is read back")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 9s);
    test.store.faults.lostAnswer = 1.0;
    test.run(holder, 1, 3s);
    CHECK(test.statusRow()->state == rollout_state::completed);
    test.store.faults.lostAnswer = 0.0;
    test.run(holder, 1, 4s);
    CHECK(test.firstStated("a", rollout_state::completed));
    std::size_t writes = 0;
    for (const auto &each : test.store.appliedWrites)
        writes += each.row.key == "status/a"
                && fake_status_table::decode(each.row).state == rollout_state::completed
            ? 1
            : 0;
    CHECK(writes == 1);
}

TEST_CASE("the next holder goes on from the row")
{
    // A holder that began again would take the whole duration once more and miss the deadline.
    fixture test;
    fixture::holder first(test);
    first.controller.setOrders({test.order()});
    test.run(first, 1, 8s);
    const double share = test.shareOf("a");
    CHECK(share >= min_trial_share);
    test.time.advance(1s);
    fixture::holder second(test);
    // It started late, so it read the order late.
    second.controller.setOrders({test.order()});
    test.run(second, 2, 3s);
    CHECK(test.statusRow()->state == rollout_state::completed);
    CHECK(test.firstStated("a", rollout_state::completed)->at <= time_point(12s));
}

TEST_CASE("the next holder never goes back from a rollback")
{
    fixture test;
    fixture::holder first(test);
    fixture::holder second(test);
    first.controller.setOrders({test.order()});
    second.controller.setOrders({test.order()});
    test.targetFailures = 0.5;
    SECTION("that the row states")
    {
        test.run(first, 1, 10s);
    }
    SECTION("that it heard of, while the row does not state it")
    {
        test.run(first, 1, 1s);
        test.store.faults.lostRequest = 1.0;
        test.run(first, 1, 8s);
        test.store.faults.lostRequest = 0.0;
        REQUIRE(test.firstStated("a", rollout_state::rolled_back));
        second.controller.noteStatus(test.stated.back().status);
    }
    SECTION("that the table lost when it was restored from an older copy")
    {
        test.run(first, 1, 1s);
        test.store.startCopies(1h);
        test.run(first, 1, 8s);
        second.controller.noteStatus(test.stated.back().status);
        test.store.restore(1s);
    }
    REQUIRE(test.firstStated("a", rollout_state::rolled_back));
    test.targetFailures = 0.0;
    test.evidence = {};
    const std::size_t before = test.stated.size();
    test.run(second, 2, 6s);
    REQUIRE(test.stated.size() > before);
    for (std::size_t index = before; index < test.stated.size(); ++index)
        CHECK(test.stated[index].status.state == rollout_state::rolled_back);
    CHECK(test.statusRow()->state == rollout_state::rolled_back);
}

TEST_CASE("a holder writes its state again after the table was restored")
{
    fixture test;
    fixture::holder holder(test);
    test.store.startCopies(1h);
    holder.controller.setOrders({test.order()});
    test.targetFailures = 0.5;
    test.run(holder, 1, 10s);
    REQUIRE(test.statusRow()->state == rollout_state::rolled_back);
    test.store.restore(1s);
    // A client learns the era from its next response; another row of the node gives it.
    holder.table.read("other", [](const auto &) {});
    test.run(holder, 1, 5s);
    REQUIRE(test.statusRow());
    CHECK(test.statusRow()->state == rollout_state::rolled_back);
    CHECK(test.store.find("rollout/a"));
}

TEST_CASE("a holder that lost its lease unnoticed stops when it sees the next one's row")
{
    fixture test;
    fixture::holder first(test);
    fixture::holder second(test);
    first.controller.setOrders({test.order()});
    second.controller.setOrders({test.order()});
    test.run(first, 1, 3s);
    test.run(second, 2, 3s);
    test.run(first, 1, 2s);
    const std::size_t before = test.stated.size();
    test.run(first, 1, 2s);
    CHECK(test.stated.size() == before);
}

TEST_CASE("a target that is not there by the deadline is rolled back")
{
    fixture test;
    test.upstreams["a"].target = 0;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 13s);
    CHECK(test.statusRow()->state == rollout_state::rolled_back);
    for (const auto &each : test.stated)
        CHECK(each.status.share == 0.0);
}

TEST_CASE("a rollout without evidence is rolled back at the deadline")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    for (duration passed{}; passed < 13s; passed += 100ms) {
        holder.controller.poll({1, {}, 400ms, test.upstreams});
        test.time.advance(100ms);
    }
    CHECK(test.statusRow()->state == rollout_state::rolled_back);
    for (const auto &each : test.stated)
        CHECK(each.status.share <= observed_share);
}

TEST_CASE("the share is not raised on evidence that is too old")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    for (duration passed{}; passed < 11s; passed += 100ms) {
        test.record({"a", 7, version_class::target, "r"}, 1, 0.0);
        test.record({"a", 7, version_class::other, "r"}, 29, 0.0);
        holder.controller.poll({1, test.evidence, passed < 3s ? 400ms : 5s, test.upstreams});
        test.time.advance(100ms);
    }
    for (const auto &each : test.stated) {
        if (each.status.state == rollout_state::in_progress)
            CHECK(each.status.share <= observed_share);
    }
}

TEST_CASE("a target that runs everywhere is completed at once")
{
    fixture test;
    test.upstreams["a"].other = 0;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 3s);
    CHECK(test.statusRow()->state == rollout_state::completed);
}

TEST_CASE("an order that is withdrawn gets share 0 and no state")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 4s);
    holder.controller.setOrders({});
    CHECK(test.stated.back().status.share == 0.0);
    const std::size_t before = test.stated.size();
    test.run(holder, 1, 10s);
    CHECK(test.stated.size() == before);
    CHECK(test.statusRow()->state == rollout_state::in_progress);
}

TEST_CASE("a newer order replaces the one before and begins anew")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order(7)});
    test.targetFailures = 0.5;
    test.run(holder, 1, 10s);
    REQUIRE(test.statusRow()->state == rollout_state::rolled_back);
    test.targetFailures = 0.0;
    holder.controller.setOrders({test.order(8)});
    test.evidence = {};
    test.run(holder, 1, 2s);
    CHECK(test.statusRow()->state == rollout_state::in_progress);
    CHECK(test.stated.back().status.share <= observed_share);
    test.run(holder, 1, 10s);
    CHECK(test.statusRow()->state == rollout_state::completed);
}

TEST_CASE("two services roll out independently")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order(7, "a"), test.order(9, "b")});
    test.upstreams["b"].target = 0;
    test.run(holder, 1, 13s);
    CHECK(test.statusRow("a")->state == rollout_state::completed);
    CHECK(test.statusRow("b")->state == rollout_state::rolled_back);
}

TEST_CASE("the operator stops a rollout")
{
    fixture test;
    fixture::holder holder(test);
    holder.controller.setOrders({test.order()});
    test.run(holder, 1, 4s);
    holder.controller.stop("a");
    test.run(holder, 1, 2s);
    CHECK(test.statusRow()->state == rollout_state::rolled_back);
    CHECK(holder.controller.views().at(0).reason == "stopped by the operator");
}
