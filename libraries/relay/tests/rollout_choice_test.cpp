#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t order_version = 7;

/// Upstreams `a` and `b` run v1, `n` runs v2, to which an order leads.
struct rollout_fixture : relay_fixture
{
    explicit rollout_fixture(call_kind kind = call_kind::idempotent, std::uint32_t attempts = 2)
        : relay_fixture(kind, attempts)
    {
        time.advance(1s);
        upstreams.put({"n", "s", {"10.0.0.1", 'n'}, "hall", 4, false, false, {}, "v2"});
        rollouts.setOrders({{"s", "v2", 30s, order_version, time.now()}});
    }

    void state(delivery::rollout_state newState, double share)
    {
        rollouts.setStatus({"s", "v2", order_version, newState, share, {3, ++sequence}, 0}, time.now());
    }

    /// Runs a call to its good end and returns the upstream that it went to.
    std::string serve()
    {
        startCall();
        const std::string to = upstreamOfLast();
        last().head(200, {});
        last().end();
        return to;
    }

    std::string upstreamOfLast()
    {
        const std::string text = last().bytes;
        const std::size_t begin = text.find(" to ") + 4;
        return text.substr(begin, text.find(' ', begin) - begin);
    }

    std::map<std::string, int> serveMany(int count)
    {
        std::map<std::string, int> result;
        for (int call = 0; call < count; ++call)
            ++result[serve()];
        return result;
    }

    delivery::evidence_totals totals(delivery::version_class kind)
    {
        return rollouts.evidence().sum("s", order_version, kind);
    }

    std::uint64_t sequence = 0;
};

} // namespace

TEST_CASE(
    "the target of an order gets no call before a permission, its share with one, and none after it ended")
{
    rollout_fixture fixture;
    CHECK(fixture.serveMany(40)["n"] == 0);
    fixture.state(delivery::rollout_state::in_progress, 0.25);
    const int admitted = fixture.serveMany(40)["n"];
    CHECK(admitted >= 9);
    CHECK(admitted <= 11);
    fixture.time.advance(delivery::rollout_gate::permission_lifetime);
    CHECK(fixture.serveMany(40)["n"] == 0);
}

TEST_CASE("after the rollback no call goes to the target, after the completion all do")
{
    rollout_fixture fixture;
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    CHECK(fixture.serveMany(10)["n"] == 10);
    SECTION("rolled back")
    {
        fixture.state(delivery::rollout_state::rolled_back, 0.0);
        fixture.state(delivery::rollout_state::in_progress, 1.0);
        CHECK(fixture.serveMany(10)["n"] == 0);
        fixture.upstreams.remove("a");
        fixture.upstreams.remove("b");
        const std::size_t before = fixture.startedExchanges();
        CHECK(fixture.startCall()->status == 503);
        CHECK(fixture.startedExchanges() == before);
    }
    SECTION("completed")
    {
        fixture.state(delivery::rollout_state::completed, 1.0);
        fixture.time.advance(10s);
        CHECK(fixture.serveMany(10)["n"] == 10);
        // A service without upstreams of the target is served by what there is.
        fixture.upstreams.remove("n");
        CHECK(fixture.serveMany(10)["n"] == 0);
    }
}

// Guards against a fleet that serves nothing after all nodes were restarted: the order of a rollout that was
// completed is still in its row, no node remembers the completion, and only upstreams of the target are left.
TEST_CASE("a node that knows only the order uses the target once no other version is listed")
{
    rollout_fixture fixture;
    fixture.upstreams.remove("a");
    const std::size_t before = fixture.startedExchanges();
    fixture.upstreams.markDraining("b"); // still listed, so the rollout may be in progress
    CHECK(fixture.startCall()->status == 503);
    CHECK(fixture.startedExchanges() == before);
    fixture.upstreams.remove("b");
    CHECK(fixture.serveMany(10)["n"] == 10);
}

TEST_CASE("a call that is admitted goes to the old version if the target has no upstream")
{
    rollout_fixture fixture;
    fixture.upstreams.remove("n");
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    const auto counts = fixture.serveMany(10);
    CHECK(counts.contains("a") + counts.contains("b") > 0);
}

TEST_CASE("a call that failed at the target is repeated at the old version and counts as its failure")
{
    rollout_fixture fixture;
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    const auto answer = fixture.startCall();
    REQUIRE(fixture.upstreamOfLast() == "n");
    fixture.last().head(500, {});
    REQUIRE(fixture.upstreamOfLast() != "n");
    fixture.time.advance(100ms);
    fixture.last().head(200, {});
    fixture.last().end();
    CHECK(answer->status == 200);
    const auto target = fixture.totals(delivery::version_class::target);
    CHECK(target.started == 1);
    CHECK(target.failed == 1);
    CHECK(target.served() == 0);
    CHECK(fixture.metrics.value("ivypier_rollout_failures_total", {{"service", "s"}, {"version", "v2"}})
          == 1.0);
    CHECK(fixture.metrics.value("ivypier_rollout_calls_total", {{"service", "s"}, {"version", "v1"}}) == 1.0);
    const auto other = fixture.totals(delivery::version_class::other);
    CHECK(other.started == 1);
    CHECK(other.failures() == 0);
    CHECK(other.byTime[delivery::timeBucketOf(100ms)] == 1);
}

TEST_CASE("a refusal to run a call and a wait are no evidence against a version")
{
    rollout_fixture fixture;
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    fixture.startCall();
    fixture.last().head(503, {{"Meaning", "not_run"}});
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    fixture.startCall();
    REQUIRE(fixture.upstreamOfLast() == "n");
    fixture.last().head(503, {{"Wait ms", "100"}});
    CHECK(fixture.totals(delivery::version_class::target).started == 2);
    CHECK(fixture.totals(delivery::version_class::target).failures() == 0);
}

TEST_CASE("an unsigned answer, a break-off and a late answer count as failures of the version")
{
    rollout_fixture fixture(call_kind::at_most_once, 1);
    fixture.defaultRoute.targetLatency = 500ms;
    fixture.install(2);
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    fixture.startCall();
    fixture.last().head(200, {{"Meaning", "unsigned"}});
    CHECK(fixture.totals(delivery::version_class::target).failed == 1);
    fixture.startCall();
    fixture.last().fail(http::exchange_stage::sent);
    CHECK(fixture.totals(delivery::version_class::target).failed == 2);
    fixture.startCall();
    fixture.time.advance(5s);
    CHECK(fixture.totals(delivery::version_class::target).failed == 3);
}

TEST_CASE("without an order nothing is recorded")
{
    rollout_fixture fixture;
    fixture.rollouts.setOrders({});
    fixture.serveMany(5);
    CHECK(fixture.rollouts.takeSamples(true).empty());
}

TEST_CASE("the few upstreams of a target are not closed as those of a scarce version")
{
    rollout_fixture fixture;
    fixture.upstreams.put({"c", "s", {"10.0.0.1", 'c'}, "hall", 4, false, false, {}, "v1"});
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    for (int call = 0; call < 10; ++call) {
        fixture.startCall();
        CHECK(fixture.upstreamOfLast() == "n");
    }
}

TEST_CASE("a stream goes on at the target while the rollout is in progress, but not after the rollback")
{
    rollout_fixture fixture(call_kind::resumable_stream, 3);
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    fixture.startCall();
    REQUIRE(fixture.upstreamOfLast() == "n");
    fixture.last().head(200, {});
    fixture.last().body(event(1));
    fixture.upstreams.put({"m", "s", {"10.0.0.1", 'm'}, "hall", 4, false, false, {}, "v2"});
    SECTION("in progress, without a permission")
    {
        fixture.time.advance(delivery::rollout_gate::permission_lifetime);
        fixture.last().fail(http::exchange_stage::sent);
        CHECK(fixture.upstreamOfLast() == "m");
        CHECK(fixture.totals(delivery::version_class::target).broken == 1);
    }
    SECTION("rolled back")
    {
        fixture.state(delivery::rollout_state::rolled_back, 0.0);
        const std::size_t before = fixture.startedExchanges();
        fixture.last().fail(http::exchange_stage::sent);
        CHECK(fixture.startedExchanges() == before);
    }
}

TEST_CASE("a stream with a gap over the target of its route is recorded once")
{
    rollout_fixture fixture(call_kind::resumable_stream, 3);
    fixture.defaultRoute.targetGap = 200ms;
    fixture.install(2);
    fixture.state(delivery::rollout_state::in_progress, 1.0);
    fixture.startCall();
    fixture.last().head(200, {});
    for (int number = 1; number <= 4; ++number) {
        fixture.last().body(event(number));
        fixture.time.advance(300ms);
    }
    CHECK(fixture.totals(delivery::version_class::target).gaps == 1);
    CHECK(fixture.totals(delivery::version_class::target).served() == 1);
}
