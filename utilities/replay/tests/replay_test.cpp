#include "experiments.h"
#include "fake_engine.h"
#include "histograms.h"
#include "virtual_replay.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::replay;
using namespace std::chrono_literals;

namespace {

trace_parameters shopParameters()
{
    constexpr std::string_view text = R"(
        deployment = "shops"
        [[accounts]]
        name = "kumasi"
        class = "counter"
        worth = 4.0
        part = 0.5
        turns = 3
        pause_seconds = 5.0
        [[accounts]]
        name = "tamale"
        class = "shop"
        worth = 1.0
        part = 0.5
        burst_part = 0.2
        burst_size = 6
    )";
    return std::get<trace_parameters>(readTraceParameters(text));
}

trace makeTrace(double perSecond, duration span = 60s, std::uint64_t seed = 1)
{
    seeded_random randomness(seed);
    return generateTrace(shopParameters(), perSecond, span, randomness);
}

replay_plan smallPlan()
{
    replay_plan plan;
    plan.nodes = 3;
    plan.runners = 3;
    plan.measuredUntil = 60s;
    return plan;
}

engine_attempt makeAttempt(std::vector<std::string> prefixes, std::vector<std::uint64_t> tokens,
                           std::uint64_t &computed)
{
    engine_attempt attempt;
    attempt.prefixes = std::move(prefixes);
    attempt.prefixTokens = std::move(tokens);
    attempt.outputTokens = 10;
    attempt.onFirstToken = [] {};
    attempt.onFinished = [&computed](std::uint64_t tokens) { computed = tokens; };
    attempt.onFailed = [](std::uint64_t, std::uint64_t) {};
    return attempt;
}

} // namespace

TEST_CASE("a written trace reads back unchanged, and a parse error names the line")
{
    const trace written = makeTrace(3.0, 20s);
    REQUIRE(written.size() > 20);
    const outcome<trace> read = readTrace(writeTrace(written));
    REQUIRE(read);
    REQUIRE(read.value().size() == written.size());
    CHECK(read.value().front().prefixTokens == written.front().prefixTokens);
    CHECK(read.value().back().repeatable == written.back().repeatable);
    CHECK(readTrace("{}\n").error().message.starts_with("line 1:"));
    CHECK_FALSE(readTrace("not json\n"));
}

TEST_CASE("invalid trace parameters are rejected with all of their faults")
{
    const auto read = readTraceParameters("deployment = \"x\"\n[[accounts]]\nname = \"a\"\nspeed = 1\n");
    REQUIRE(std::holds_alternative<std::vector<settings_error>>(read));
    CHECK(std::get<std::vector<settings_error>>(read).size() == 4);
}

TEST_CASE("a generated trace has the requested rate, and prompts grow with each turn of a conversation")
{
    const trace requests = makeTrace(10.0, 600s);
    CHECK(static_cast<double>(requests.size()) / 600.0 == Approx(10.0).epsilon(0.15));
    std::map<std::string, std::uint64_t> tokens;
    for (const trace_request &each : requests) {
        if (each.turn > 0)
            CHECK(each.prefixTokens.back() > tokens[each.conversation]);
        tokens[each.conversation] = each.prefixTokens.back();
    }
}

TEST_CASE("a fake engine processes uncached tokens, evicts the least recently used prefix and reports it")
{
    virtual_scheduler tasks;
    fake_engine engine(tasks, {.cacheTokens = 100});
    std::uint64_t computed = 0;
    engine.start(makeAttempt({"a", "ab"}, {40, 60}, computed));
    tasks.advance(5s);
    CHECK(computed == 60);
    engine.start(makeAttempt({"a", "ab", "abc"}, {40, 60, 90}, computed));
    tasks.advance(5s);
    CHECK(computed == 30);
    engine.start(makeAttempt({"z"}, {50}, computed));
    tasks.advance(5s);
    const auto events = engine.events(0, tasks.now());
    CHECK(std::count_if(events.begin(), events.end(), [](const auto &each) { return !each.stored; }) == 2);
    engine.start(makeAttempt({"a", "ab"}, {40, 60}, computed));
    tasks.advance(5s);
    CHECK(computed == 20);
}

TEST_CASE("runs with the same seed are identical, and every request has exactly one outcome")
{
    const trace requests = makeTrace(20.0);
    const replay_result firstRun = virtual_replay(smallPlan(), requests).run();
    const replay_result secondRun = virtual_replay(smallPlan(), requests).run();
    CHECK(firstRun.total() == secondRun.total());
    const request_counts total = firstRun.total();
    CHECK(total.offered == total.answered + total.refused + total.failed);
    CHECK(total.failed == 0);
    CHECK(total.admittedThoughLate == 0);
    CHECK(histogramTable(firstRun).find("kumasi,counter,first_token,") != std::string::npos);
}

TEST_CASE("a wave of reclaims fails no request, and transferring caches reduces recomputation")
{
    const trace requests = makeTrace(20.0);
    replay_plan plan = smallPlan();
    plan.admission = admission_choice::none;
    plan.wave = reclaim_wave{30s, 1.0 / 3.0, 500ms};
    plan.recovery = recovery_policy::restart;
    const replay_result restarted = virtual_replay(plan, requests).run();
    plan.recovery = recovery_policy::transfer;
    const replay_result transferred = virtual_replay(plan, requests).run();
    CHECK(restarted.total().failed == 0);
    CHECK(transferred.total().failed == 0);
    CHECK(transferred.recomputedTokens < restarted.recomputedTokens);
}

TEST_CASE("retries stay within a tenth of the requests while every runner fails")
{
    const trace requests = makeTrace(20.0);
    replay_plan plan = smallPlan();
    plan.outage = total_outage{10s, 50s};
    const replay_result run = virtual_replay(plan, requests).run();
    REQUIRE(run.outageRequests > 200);
    CHECK(run.outageRetries * 10 <= run.outageRequests);
    std::uint64_t after = 0;
    for (std::size_t second = 55; second < 59; ++second)
        after += run.withinTargetBySecond[second];
    CHECK(after > 0);
}

TEST_CASE("early refusal meets the first-token target at capacity, open admission at twice the load doesn't")
{
    experiments suite(shopParameters(), 3, 120s);
    const auto results = suite.run("admission");
    REQUIRE(results);
    const auto p95 = [&](const std::string &variant) {
        for (const benchmark_result &each : results.value()) {
            if (each.variant == variant && each.metric == "first token p95 s")
                return each.value;
        }
        return -1.0;
    };
    CHECK(p95("early_refusal at 1.0") <= 0.57);
    CHECK(p95("none at 2.0") > 0.57);
    CHECK_FALSE(suite.run("nothing"));
}

TEST_CASE("a benchmark result knows whether it meets its target")
{
    const benchmark_result met{"e", "t", "v", "m", 0.5, result_target{target_kind::at_most, 0.57}};
    const benchmark_result missed{"e", "t", "v", "m", 0.5, result_target{target_kind::at_least, 0.9}};
    CHECK(met.meetsTarget());
    CHECK_FALSE(missed.meetsTarget());
    CHECK(textTable({met, missed}).find("MISSED") != std::string::npos);
    CHECK(jsonTable({missed}).find("\"met\":false") != std::string::npos);
}
