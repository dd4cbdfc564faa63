#include "delivery/evidence_series.h"
#include "delivery/version_comparison.h"
#include "delivery/version_evidence.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::delivery;
using namespace std::chrono_literals;

namespace {

/// Appends an interval of 100 ms to a series.
void append(evidence_series &series, evidence_series::routes &totals, time_point &now,
            const evidence_series::routes &increment)
{
    addRoutes(totals, increment);
    now += 100ms;
    series.append(now, totals);
}

evidence_totals answers(std::uint64_t calls, std::uint64_t failures, std::size_t bucket = 6)
{
    evidence_totals result;
    result.started = calls;
    result.failed = failures;
    result.byTime[bucket] = calls - failures;
    return result;
}

} // namespace

TEST_CASE("evidence comes back from its samples and is summed over nodes")
{
    const evidence_key target{"svc|x", 0x2a00000001, version_class::target, "r1"};
    const evidence_key plain{"svc", 3, version_class::other, "route|with|bars"};
    version_evidence first;
    first.recordStart(plain);
    first.recordFirstEvent(plain, 130ms);
    first.recordGap(plain);
    first.recordFailure(plain, true);
    version_evidence second;
    second.recordStart(plain);
    second.recordFailure(plain, false);
    second.recordStart({"svc", 3, version_class::target, "r"});

    version_evidence sum;
    sum.add(first);
    sum.add(second);
    version_evidence decoded;
    for (const version_evidence &each : {first, second}) {
        for (const auto &[name, value] : each.samples())
            CHECK(decoded.addSample(name, value));
    }
    CHECK(decoded == sum);
    CHECK(sum.totals().at(plain).started == 2);
    CHECK(sum.totals().at(plain).failures() == 2);
    CHECK(sum.totals().at(plain).answered() == 2);
    CHECK(sum.sum("svc", 3, version_class::target).started == 1);
}

TEST_CASE("names that are no evidence are refused")
{
    version_evidence evidence;
    for (const char *name : {"", "a", "a|1|t|r", "a|1|t|r|", "a|1|t|r|z", "a|1|q|r|s", "a|xyz|t|r|s",
                             "a||t|r|s", "a|1|t|s", "a|12345678901234567890|t|r|s", "||||"})
        CHECK_FALSE(evidence.addSample(name, 1));
    CHECK(evidence.totals().empty());
    CHECK(evidence.addSample("a|1|t||s", 1));
}

TEST_CASE("times fall into ascending buckets")
{
    CHECK(timeBucketOf(0ms) == 0);
    CHECK(timeBucketOf(16ms) == 0);
    CHECK(timeBucketOf(17ms) == 1);
    CHECK(timeBucketOf(1h) == time_bucket_count - 1);
    for (std::size_t bucket = 0; bucket + 1 < time_bucket_count; ++bucket)
        CHECK(timeBucketOf(timeBucketEnd(bucket) - 1us) == bucket);
}

TEST_CASE("totals that go down because a node left count as no new calls")
{
    evidence_series series;
    evidence_series::routes totals;
    totals["r"].other = answers(100, 0);
    series.append(time_point(1s), totals);
    totals["r"].other = answers(60, 0);
    series.append(time_point(2s), totals);
    totals["r"].other = answers(70, 0);
    series.append(time_point(3s), totals);
    CHECK(series.sum()["r"].other.started == 110);
}

TEST_CASE("a long series keeps its sum")
{
    evidence_series series;
    evidence_series::routes totals;
    time_point now{};
    for (int index = 0; index < 1000; ++index)
        append(series, totals, now, {{"r", {answers(1, 0), answers(9, 1)}}});
    CHECK(series.intervals().size() == evidence_series::max_intervals);
    CHECK(series.sum()["r"].target.started == 1000);
    CHECK(series.callsPerSecond() == Approx(100.0));
}

TEST_CASE("a burst of failures at both versions while the share is high is no difference")
{
    // The target has most calls when the failures come. Sums over the whole time would blame it.
    evidence_series series;
    evidence_series::routes totals;
    time_point now{};
    for (int index = 0; index < 60; ++index)
        append(series, totals, now, {{"r", {answers(1, 0), answers(40, 0)}}});
    for (int index = 0; index < 20; ++index)
        append(series, totals, now, {{"r", {answers(30, 9), answers(10, 3)}}});
    CHECK(compareVersions(series).strength < 0.25 * requiredStrength(120, 1));
    CHECK(areOthersDisturbed(series));
}

TEST_CASE("failures, slow first events, gaps and missing answers of the target are found")
{
    evidence_series series;
    evidence_series::routes totals;
    time_point now{};
    evidence_totals bad = answers(4, 0);
    std::string kind;
    SECTION("failures")
    {
        bad = answers(4, 2);
        kind = "failures";
    }
    SECTION("slow")
    {
        bad = answers(4, 0, 11);
        kind = "slow first events";
    }
    SECTION("gaps")
    {
        bad.gaps = 2;
        kind = "long gaps";
    }
    SECTION("no answer")
    {
        bad.byTime = {};
        kind = "calls without answer";
    }
    for (int index = 0; index < 40; ++index)
        append(series, totals, now,
               {{"good", {answers(4, 0), answers(36, 0)}}, {"bad", {bad, answers(36, 0)}}});
    const version_difference found = compareVersions(series);
    CHECK(found.strength > requiredStrength(120, 2));
    CHECK(found.kind.ends_with(kind));
}
