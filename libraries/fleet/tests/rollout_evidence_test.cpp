#include "test_cluster.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

namespace {

const delivery::rollout_order order{"s", "v2", 30s, 41, {}};

delivery::evidence_key keyOf(delivery::version_class kind)
{
    return {"s", order.rowVersion, kind, "chat"};
}

/// Has each node record `calls` calls to the target, one of them failed, and twice as many to the other
/// version.
void recordCalls(const test_cluster &cluster, int calls)
{
    for (const auto &each : cluster.nodes) {
        delivery::version_evidence &evidence = each->rollouts.evidence();
        for (int call = 0; call < calls; ++call) {
            evidence.recordStart(keyOf(delivery::version_class::target));
            evidence.recordFirstEvent(keyOf(delivery::version_class::target), 100ms);
        }
        evidence.recordFailure(keyOf(delivery::version_class::target), false);
        for (int call = 0; call < 2 * calls; ++call)
            evidence.recordStart(keyOf(delivery::version_class::other));
    }
}

void setOrders(const test_cluster &cluster, const std::vector<delivery::rollout_order> &orders)
{
    for (const auto &each : cluster.nodes)
        each->rollouts.setOrders(orders);
}

/// Returns the sum over the fleet as a node knows it.
delivery::version_evidence sumAt(const node &at)
{
    delivery::version_evidence result;
    for (const auto &[name, value] : at.exchange.aggregator().rolloutEvidence())
        CHECK(result.addSample(name, value));
    return result;
}

delivery::evidence_totals targetSumAt(const node &at)
{
    return sumAt(at).sum("s", order.rowVersion, delivery::version_class::target);
}

} // namespace

TEST_CASE("the holder of the duties receives the evidence of all nodes, also with two levels")
{
    const std::size_t maxSingleLevelNodes = GENERATE(std::size_t{100}, std::size_t{4});
    test_cluster cluster(12, 5, 3, maxSingleLevelNodes);
    node &holder = *cluster.nodes[7];
    holder.exchange.announceHolder(9);
    cluster.time.advance(3s);
    setOrders(cluster, {order});
    recordCalls(cluster, 5);
    cluster.time.advance(3s);
    CHECK(targetSumAt(holder).started == 60);
    CHECK(targetSumAt(holder).failed == 12);
    CHECK(targetSumAt(holder).served() == 60);
    CHECK(sumAt(holder).sum("s", order.rowVersion, delivery::version_class::other).started == 120);
    recordCalls(cluster, 3);
    cluster.time.advance(3s);
    CHECK(targetSumAt(holder).started == 96);
    CHECK(targetSumAt(holder).failed == 24);
}

TEST_CASE("the evidence of all nodes arrives although datagrams are lost")
{
    // Guards against totals that are sent once only, when they change.
    const std::size_t maxSingleLevelNodes = GENERATE(std::size_t{100}, std::size_t{4});
    test_cluster cluster(12, 6, 3, maxSingleLevelNodes);
    node &holder = *cluster.nodes[2];
    holder.exchange.announceHolder(9);
    cluster.time.advance(3s);
    cluster.network.setLoss(0.3);
    setOrders(cluster, {order});
    recordCalls(cluster, 5);
    cluster.time.advance(20s);
    CHECK(targetSumAt(holder).started == 60);
}

TEST_CASE("a holder that takes over knows the evidence, and a node that ended stays counted")
{
    test_cluster cluster(12, 5, 3);
    cluster.time.advance(3s);
    setOrders(cluster, {order});
    recordCalls(cluster, 5);
    cluster.time.advance(3s);
    cluster.cutOff({4}, 1s);
    node &next = *cluster.nodes[8];
    next.exchange.announceHolder(10);
    recordCalls(cluster, 5);
    cluster.time.advance(4s);
    // The next holder may be no collector; then it learns the totals of the node that is cut off never.
    CHECK(targetSumAt(next).started >= 110);
    CHECK(targetSumAt(next).started <= 115);
}

TEST_CASE("no evidence is sent or kept once the rollout has ended")
{
    test_cluster cluster(6, 5, 1);
    node &holder = *cluster.nodes[0];
    holder.exchange.announceHolder(9);
    cluster.time.advance(3s);
    CHECK(holder.exchange.aggregator().rolloutEvidence().empty());
    setOrders(cluster, {order});
    recordCalls(cluster, 5);
    cluster.time.advance(3s);
    CHECK_FALSE(holder.exchange.aggregator().rolloutEvidence().empty());
    for (const auto &each : cluster.nodes) {
        each->rollouts.setStatus(
            {"s", "v2", order.rowVersion, delivery::rollout_state::rolled_back, 0.0, {1, 1}, 0},
            cluster.time.now());
        CHECK(each->rollouts.takeSamples(true).empty());
    }
    cluster.time.advance(evidence_sums::retention + 2s);
    holder.exchange.announceHolder(11);
    setOrders(cluster, {{"s", "v3", 30s, 55, {}}});
    for (const auto &each : cluster.nodes)
        each->rollouts.evidence().recordStart({"s", 55, delivery::version_class::target, "chat"});
    cluster.time.advance(3s);
    CHECK(targetSumAt(holder).started == 0);
    CHECK(sumAt(holder).sum("s", 55, delivery::version_class::target).started == 6);
}

TEST_CASE("the age of the evidence grows while the holder hears no reports")
{
    const std::size_t maxSingleLevelNodes = GENERATE(std::size_t{100}, std::size_t{4});
    test_cluster cluster(12, 5, 3, maxSingleLevelNodes);
    node &holder = *cluster.nodes[7];
    holder.exchange.announceHolder(9);
    cluster.time.advance(4s);
    CHECK(holder.exchange.aggregator().medianReportAge() < 1s);
    cluster.cutOff({8}, 60s);
    cluster.time.advance(4s);
    CHECK(holder.exchange.aggregator().medianReportAge() > 3s);
}
