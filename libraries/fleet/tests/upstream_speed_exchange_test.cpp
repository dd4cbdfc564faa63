#include "test_cluster.h"

#include <catch2/catch.hpp>

namespace ivypier::fleet::tests {

namespace {

const relay::upstream_record slow_upstream{"slow", "s", {"10.0.0.1", 1}, "hall", 12};
const relay::upstream_record mean_upstream{"mean", "s", {"10.0.0.1", 2}, "hall", 12};

/// Has node 1 observe events of both upstreams for a time.
void observe(test_cluster &cluster, double slowGapMs, duration span)
{
    double due = 0.0;
    for (duration elapsed{}; elapsed < span; elapsed += 20ms) {
        cluster.time.advance(20ms);
        relay::upstream_speed &speeds = cluster.nodes.front()->speeds;
        speeds.recordEvents(mean_upstream, 2.0, 1, 20ms);
        due += 20.0;
        if (due < slowGapMs)
            continue;
        speeds.recordEvents(slow_upstream, 2.0, 1, fromSeconds(due / 1000.0));
        due = 0.0;
    }
}

} // namespace

// Guards against a node that learns the speed of an upstream only from its own few calls, with one level of
// collectors and with two.
TEST_CASE("nodes without calls learn from the others which upstream is slow, and that one became slow")
{
    for (const std::size_t maxSingleLevelNodes : {std::size_t{100}, std::size_t{4}}) {
        test_cluster cluster(9, 5, 3, maxSingleLevelNodes);
        observe(cluster, 40.0, 12s);
        for (const auto &each : cluster.nodes) {
            if (each == cluster.nodes.front())
                continue;
            const relay::speed_sums slow = each->exchange.remoteSpeed("slow").steady;
            const relay::speed_sums mean = each->exchange.remoteSpeed("mean").steady;
            REQUIRE(slow.expected > 0.0);
            REQUIRE(mean.expected > 0.0);
            CHECK(slow.observed / slow.expected > 1.3 * mean.observed / mean.expected);
            CHECK(each->exchange.remoteSpeed("slow").recent.observed == 0.0);
        }
        observe(cluster, 300.0, 3s);
        for (const auto &each : cluster.nodes) {
            if (each != cluster.nodes.front())
                CHECK(each->exchange.remoteSpeed("slow").recent.observed > 0.0);
        }
        observe(cluster, 40.0, 3s);
        for (const auto &each : cluster.nodes)
            CHECK(each->exchange.remoteSpeed("slow").recent.observed == 0.0);
    }
}

// Guards against sums that stay after their sender is gone, or that count its earlier report twice.
TEST_CASE("a report replaces the sender's earlier speeds, and those that are not renewed expire")
{
    virtual_scheduler time;
    speed_table table(time);
    const auto sumsInAllRounds = [&] {
        relay::speed_sums sum;
        for (std::uint64_t round = 0; round < min_speed_rounds; ++round) {
            for (const metric_sample &each : table.totals(round))
                sum += toSums(each);
        }
        return sum;
    };
    table.put(1, toSample(metric_kind::upstream_speed, "a", {100.0, 150.0}));
    table.put(1, toSample(metric_kind::upstream_speed, "a", {110.0, 160.0}));
    table.put(2, toSample(metric_kind::upstream_speed, "a", {10.0, 20.0}));
    CHECK(sumsInAllRounds() == relay::speed_sums{120.0, 180.0});
    time.advance(speed_retention / 2);
    table.put(2, toSample(metric_kind::upstream_speed, "a", {10.0, 20.0}));
    time.advance(speed_retention / 2 + 1s);
    table.expire();
    CHECK(sumsInAllRounds() == relay::speed_sums{10.0, 20.0});
    table.drop(2);
    CHECK(sumsInAllRounds() == relay::speed_sums{});
}

} // namespace ivypier::fleet::tests
