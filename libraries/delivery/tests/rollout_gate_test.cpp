#include "base/virtual_scheduler.h"
#include "delivery/rollout_gate.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace ivypier;
using namespace ivypier::delivery;
using namespace std::chrono_literals;

namespace {

struct fixture
{
    virtual_scheduler time;
    seeded_random randomness{5};
    rollout_gate gate{time, randomness};
    rollout_order order{"a", "v2", 12s, 7, {}};
    std::uint64_t sequence = 0;

    void state(rollout_state state, double share, std::uint64_t orderVersion = 7)
    {
        gate.setStatus({"a", "v2", orderVersion, state, share, {1, ++sequence}, 0}, time.now());
    }

    int targetCalls(int calls)
    {
        int count = 0;
        for (int index = 0; index < calls; ++index)
            count += gate.admit("a").only.contains("v2") ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_CASE("a service without a rollout has no restriction")
{
    fixture test;
    CHECK(test.gate.admit("a") == version_filter());
    CHECK(test.gate.mayUse("a", "v1"));
}

TEST_CASE("the target gets no call before a permission, also at a node that only knows the order")
{
    fixture test;
    test.gate.setOrders({test.order});
    CHECK(test.targetCalls(1000) == 0);
    CHECK_FALSE(test.gate.mayUse("a", "v2"));
    CHECK(test.gate.mayUse("a", "v1"));
    CHECK(test.gate.orderInProgress("a") == 7);
}

TEST_CASE("a statement without the order gives no permission")
{
    fixture test;
    test.state(rollout_state::in_progress, 1.0);
    CHECK(test.targetCalls(100) == 0);
    CHECK_FALSE(test.gate.mayUse("a", "v2"));
}

TEST_CASE("the sum over many nodes stays near the share from the first call on")
{
    // Nodes that each begin with a call to the target would exceed the tolerance of 50 calls at once.
    virtual_scheduler time;
    seeded_random randomness(3);
    std::vector<std::unique_ptr<rollout_gate>> gates;
    for (int index = 0; index < 1600; ++index) {
        gates.push_back(std::make_unique<rollout_gate>(time, randomness));
        gates.back()->setOrders({{"a", "v2", 12s, 7, {}}});
        gates.back()->setStatus({"a", "v2", 7, rollout_state::in_progress, 0.04, {1, 1}, 0}, time.now());
    }
    int calls = 0;
    int target = 0;
    double worst = 0.0;
    for (int round = 0; round < 60; ++round) {
        for (const auto &each : gates) {
            ++calls;
            target += each->admit("a").only.contains("v2") ? 1 : 0;
            worst = std::max(worst, target - 0.1 * calls);
        }
    }
    CHECK(worst <= 50.0);
    CHECK(target > 0.035 * calls);
    CHECK(target < 0.045 * calls);
}

TEST_CASE("a permission ends 1,500 ms after it was stated")
{
    fixture test;
    test.gate.setOrders({test.order});
    test.state(rollout_state::in_progress, 1.0);
    CHECK(test.targetCalls(10) == 10);
    test.time.advance(1499ms);
    CHECK(test.targetCalls(10) == 10);
    test.time.advance(1ms);
    CHECK(test.targetCalls(10) == 0);
    CHECK_FALSE(test.gate.mayUse("a", "v2"));
    test.state(rollout_state::in_progress, 1.0);
    CHECK(test.targetCalls(10) == 10);
}

TEST_CASE("a statement that is heard again does not extend the permission")
{
    fixture test;
    test.gate.setOrders({test.order});
    const rollout_status status{"a", "v2", 7, rollout_state::in_progress, 1.0, {1, 4}, 0};
    test.gate.setStatus(status, test.time.now());
    test.time.advance(1s);
    test.gate.setStatus(status, test.time.now());
    test.time.advance(600ms);
    CHECK(test.targetCalls(10) == 0);
}

TEST_CASE("a new holder's statements replace those of the one before")
{
    fixture test;
    test.gate.setOrders({test.order});
    test.gate.setStatus({"a", "v2", 7, rollout_state::in_progress, 1.0, {1, 90}, 0}, test.time.now());
    test.gate.setStatus({"a", "v2", 7, rollout_state::in_progress, 0.0, {2, 1}, 0}, test.time.now());
    CHECK(test.targetCalls(10) == 0);
    test.gate.setStatus({"a", "v2", 7, rollout_state::in_progress, 1.0, {1, 91}, 0}, test.time.now());
    CHECK(test.targetCalls(10) == 0);
}

TEST_CASE("rolled back is final for its order, whoever states another state later")
{
    fixture test;
    test.gate.setOrders({test.order});
    test.state(rollout_state::rolled_back, 0.0);
    test.state(rollout_state::in_progress, 1.0);
    test.state(rollout_state::completed, 1.0);
    test.gate.setStatus({"a", "v2", 7, rollout_state::in_progress, 1.0, {9, 1}, 0}, test.time.now());
    CHECK(test.targetCalls(100) == 0);
    CHECK_FALSE(test.gate.mayUse("a", "v2"));
    SECTION("a rollback of an older holder holds too")
    {
        fixture other;
        other.gate.setOrders({other.order});
        other.gate.setStatus({"a", "v2", 7, rollout_state::in_progress, 1.0, {2, 5}, 0}, other.time.now());
        other.gate.setStatus({"a", "v2", 7, rollout_state::rolled_back, 0.0, {1, 9}, 0}, other.time.now());
        CHECK(other.targetCalls(100) == 0);
    }
    SECTION("the version stays excluded while a later order has another target")
    {
        test.gate.setOrders({{"a", "v3", 12s, 8, {}}});
        CHECK_FALSE(test.gate.mayUse("a", "v2"));
        CHECK_FALSE(test.gate.mayUse("a", "v3"));
        CHECK(test.gate.mayUse("a", "v1"));
    }
    SECTION("and after the order was withdrawn")
    {
        test.gate.setOrders({});
        CHECK_FALSE(test.gate.mayUse("a", "v2"));
    }
    SECTION("a newer order of the same version starts anew")
    {
        test.gate.setOrders({{"a", "v2", 12s, 8, {}}});
        CHECK_FALSE(test.gate.mayUse("a", "v2"));
        test.state(rollout_state::in_progress, 1.0, 8);
        CHECK(test.targetCalls(10) == 10);
    }
}

TEST_CASE("an order that is withdrawn or replaced ends the permission")
{
    fixture test;
    test.gate.setOrders({test.order});
    test.state(rollout_state::in_progress, 1.0);
    SECTION("withdrawn")
    {
        test.gate.setOrders({});
    }
    SECTION("replaced")
    {
        test.gate.setOrders({{"a", "v2", 12s, 8, {}}});
    }
    CHECK(test.targetCalls(10) == 0);
    CHECK_FALSE(test.gate.mayUse("a", "v2"));
}

TEST_CASE("a node that sees 10 bad answers among 20 stops until a newer statement")
{
    fixture test;
    test.gate.setOrders({test.order});
    test.state(rollout_state::in_progress, 1.0);
    for (int index = 0; index < 9; ++index)
        test.gate.recordAnswer("a", "v2", true);
    for (int index = 0; index < 30; ++index)
        test.gate.recordAnswer("a", "v1", true);
    CHECK(test.targetCalls(10) == 10);
    test.gate.recordAnswer("a", "v2", true);
    CHECK(test.targetCalls(10) == 0);
    test.state(rollout_state::in_progress, 1.0);
    CHECK(test.targetCalls(10) == 10);
}

TEST_CASE("after completion new calls go to the target")
{
    fixture test;
    test.gate.setOrders({test.order});
    test.state(rollout_state::completed, 1.0);
    test.time.advance(1min);
    CHECK(test.targetCalls(10) == 10);
    CHECK(test.gate.mayUse("a", "v1"));
    CHECK(test.gate.orderInProgress("a") == 0);
}

TEST_CASE("rollouts of two services are independent")
{
    fixture test;
    test.gate.setOrders({test.order, {"b", "v2", 12s, 9, {}}});
    test.state(rollout_state::rolled_back, 0.0);
    test.gate.setStatus({"b", "v2", 9, rollout_state::in_progress, 1.0, {1, 1}, 0}, test.time.now());
    CHECK(test.targetCalls(10) == 0);
    CHECK(test.gate.admit("b").only.contains("v2"));
}

TEST_CASE("repeated attempts never go to a target in progress")
{
    fixture test;
    test.gate.setOrders({test.order});
    test.state(rollout_state::in_progress, 1.0);
    CHECK_FALSE(test.gate.withoutTarget("a").mayUse("v2"));
    CHECK(test.gate.withoutTarget("a").mayUse("v1"));
}
