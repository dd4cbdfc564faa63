#include "experiments.h"

#include "virtual_replay.h"

#include <algorithm>
#include <map>

namespace ivypier::replay {

namespace {

constexpr result_target first_token_target{target_kind::at_most, 0.57};
constexpr result_target inter_token_target{target_kind::at_most, 0.051};

/// The measured time as fractions of the trace's span; the rate peaks at 0.5.
constexpr double measured_from = 0.35;
constexpr double measured_until = 0.65;

/// Exceeds the engines' capacity, so that they are always busy.
constexpr double saturating_requests_per_runner = 20.0;

const std::vector<routing_policy> all_routing_policies
    = {routing_policy::round_robin, routing_policy::least_reported, routing_policy::least_dispatched,
       routing_policy::expected_time_no_prefixes, routing_policy::expected_time};

std::string loadText(double load)
{
    return load == 1.0 ? " at 1.0" : load == 2.0 ? " at 2.0" : " at " + std::to_string(load).substr(0, 3);
}

} // namespace

std::vector<benchmark_result> summarizeRecordedRun(const std::string &trace, const replay_result &run)
{
    std::vector<benchmark_result> result;
    for (const auto &[key, counts] : run.byAccountAndClass) {
        const std::string variant = key.first + ", " + key.second;
        result.push_back({"replay", trace, variant, "offered", static_cast<double>(counts.offered), {}});
        result.push_back({"replay", trace, variant, "answered", static_cast<double>(counts.answered), {}});
        result.push_back({"replay", trace, variant, "refused", static_cast<double>(counts.refused), {}});
        result.push_back(
            {"replay", trace, variant, "first token p95 s", quantile(counts.firstTokenSeconds, 0.95), {}});
    }
    return result;
}

experiments::experiments(trace_parameters parameters, std::uint64_t seed, duration span)
    : m_parameters(std::move(parameters))
    , m_seed(seed)
    , m_span(span)
{
}

std::vector<std::string> experiments::names()
{
    return {"capacity", "routing", "staleness", "admission", "prefixes", "reclaim", "storm"};
}

outcome<std::vector<benchmark_result>> experiments::run(const std::string &experiment)
{
    const std::map<std::string, result_list (experiments::*)()> known
        = {{"capacity", &experiments::measureCapacity},   {"routing", &experiments::measureRouting},
           {"staleness", &experiments::measureStaleness}, {"admission", &experiments::measureAdmission},
           {"prefixes", &experiments::measurePrefixes},   {"reclaim", &experiments::measureReclaim},
           {"storm", &experiments::measureRetryStorm}};
    const auto found = known.find(experiment);
    if (found == known.end())
        return error{error_code::not_found, "no experiment \"" + experiment + "\""};
    return (this->*found->second)();
}

replay_result experiments::runDefaultPlan()
{
    return replay(plan(), 1.0);
}

double experiments::capacity()
{
    if (m_capacity > 0.0)
        return m_capacity;
    replay_plan saturated = plan();
    saturated.nodes = 1;
    saturated.reportDelay = duration::zero();
    saturated.reportInterval = std::chrono::milliseconds(20);
    saturated.admission = admission_choice::none;
    saturated.drain = false;
    seeded_random randomness(m_seed);
    const trace requests
        = generateTrace(m_parameters, saturating_requests_per_runner * static_cast<double>(saturated.runners),
                        m_span / 4, randomness);
    saturated.measuredFrom = m_span / 20;
    saturated.measuredUntil = m_span / 4;
    m_capacity = virtual_replay(saturated, requests).run().throughput();
    return m_capacity;
}

/// Generates a trace whose rate over the measured time is `load` times the capacity.
trace experiments::traceAtLoad(double load)
{
    seeded_random randomness(m_seed + 7);
    const double targetRate = load * capacity();
    double meanRate = targetRate / m_parameters.peak;
    trace requests;
    // The daily curve and the conversations' later turns shift the rate in the measured time, so two
    // corrections of the mean rate bring it to the target.
    for (int correction = 0; correction < 3; ++correction) {
        seeded_random sameRandomness(m_seed + 7);
        requests = generateTrace(m_parameters, meanRate, m_span, sameRandomness);
        const auto measuredCount
            = std::count_if(requests.begin(), requests.end(), [&](const trace_request &each) {
                  return each.at >= plan().measuredFrom && each.at < plan().measuredUntil;
              });
        const double measuredRate
            = static_cast<double>(measuredCount) / seconds(plan().measuredUntil - plan().measuredFrom);
        meanRate *= targetRate / std::max(measuredRate, 1e-9);
    }
    return requests;
}

replay_plan experiments::plan() const
{
    replay_plan result;
    result.seed = m_seed;
    result.measuredFrom = fromSeconds(seconds(m_span) * measured_from);
    result.measuredUntil = fromSeconds(seconds(m_span) * measured_until);
    return result;
}

replay_result experiments::replay(const replay_plan &plan, double load)
{
    const trace requests = traceAtLoad(load);
    return virtual_replay(plan, requests).run();
}

void experiments::addResult(result_list &to, const std::string &experiment, const std::string &variant,
                            const std::string &metric, double value,
                            std::optional<result_target> target) const
{
    to.push_back({experiment, m_parameters.deployment, variant, metric, value, target});
}

experiments::result_list experiments::measureCapacity()
{
    result_list result;
    addResult(result, "capacity", "10 runners, saturated", "answers/s", capacity());
    return result;
}

experiments::result_list experiments::measureRouting()
{
    result_list result;
    for (const routing_policy policy : all_routing_policies) {
        replay_plan variantPlan = plan();
        variantPlan.routing = policy;
        variantPlan.admission = admission_choice::none;
        const replay_result run = replay(variantPlan, 0.8);
        const request_counts total = run.total();
        const std::string variant = std::string(name(policy)) + " at 0.8, takes all";
        addResult(result, "routing", variant, "first token p50 s", quantile(total.firstTokenSeconds, 0.5));
        addResult(result, "routing", variant, "first token p95 s", quantile(total.firstTokenSeconds, 0.95));
        addResult(result, "routing", variant, "goodput of capacity", run.goodput() / capacity());
        addResult(result, "routing", variant, "prompt tokens from cache", run.cacheHitRate());
        addResult(result, "routing", variant, "imbalance", run.imbalance);
    }
    return result;
}

experiments::result_list experiments::measureStaleness()
{
    result_list result;
    for (const routing_policy policy : {routing_policy::least_reported, routing_policy::expected_time}) {
        replay_plan fresh = plan();
        fresh.routing = policy;
        fresh.admission = admission_choice::none;
        fresh.reportDelay = duration::zero();
        fresh.reportInterval = std::chrono::milliseconds(20);
        replay_plan delayed = fresh;
        delayed.reportDelay = std::chrono::seconds(2);
        delayed.reportInterval = std::chrono::milliseconds(500);
        const double imbalanceFresh = replay(fresh, 0.8).imbalance;
        const double imbalanceDelayed = replay(delayed, 0.8).imbalance;
        const std::string variant(name(policy));
        addResult(result, "staleness", variant, "imbalance, fresh reports", imbalanceFresh);
        addResult(result, "staleness", variant, "imbalance, reports 2 s old", imbalanceDelayed);
        const bool isDefault = policy == routing_policy::expected_time;
        addResult(result, "staleness", variant, "old against fresh", imbalanceDelayed / imbalanceFresh,
                  isDefault ? std::optional(result_target{target_kind::at_most, 1.2}) : std::nullopt);
    }
    return result;
}

experiments::result_list experiments::measureAdmission()
{
    result_list result;
    for (const double load : {1.0, 2.0}) {
        for (const admission_choice policy :
             {admission_choice::none, admission_choice::deadline, admission_choice::early_refusal}) {
            replay_plan variantPlan = plan();
            variantPlan.admission = policy;
            const replay_result run = replay(variantPlan, load);
            const request_counts total = run.total();
            const bool isDefault = policy == admission_choice::early_refusal;
            const std::string variant = std::string(name(policy)) + loadText(load);
            const auto targetIfDefault
                = [&](result_target target) { return isDefault ? std::optional(target) : std::nullopt; };
            addResult(result, "admission", variant, "first token p95 s",
                      quantile(total.firstTokenSeconds, 0.95),
                      load == 1.0 ? targetIfDefault(first_token_target) : std::nullopt);
            addResult(result, "admission", variant, "between tokens p95 s",
                      quantile(total.interTokenSeconds, 0.95), targetIfDefault(inter_token_target));
            addResult(result, "admission", variant, "goodput of capacity", run.goodput() / capacity(),
                      load == 2.0 ? targetIfDefault({target_kind::at_least, 0.9}) : std::nullopt);
            addResult(result, "admission", variant, "worth in target of offered",
                      run.worthWithinTarget / std::max(run.worthOffered, 1e-9));
            addResult(result, "admission", variant, "prompt tokens from cache", run.cacheHitRate());
            addResult(result, "admission", variant, "refused of offered",
                      static_cast<double>(total.refused)
                          / static_cast<double>(std::max<std::uint64_t>(total.offered, 1)));
            addResult(result, "admission", variant, "accepted though expected late",
                      static_cast<double>(total.admittedThoughLate),
                      targetIfDefault({target_kind::at_most, 0.0}));
        }
    }
    return result;
}

experiments::result_list experiments::measurePrefixes()
{
    result_list result;
    replay_plan centralPlan = plan();
    centralPlan.nodes = 1;
    centralPlan.reportDelay = duration::zero();
    centralPlan.reportInterval = std::chrono::milliseconds(20);
    const double centralHitRate = replay(centralPlan, 0.8).cacheHitRate();
    addResult(result, "prefixes", "one router that knows all", "prompt tokens from cache", centralHitRate);
    for (const double gaps : {0.0, 0.05}) {
        replay_plan variantPlan = plan();
        variantPlan.eventLossProbability = gaps;
        const double delayedHitRate = replay(variantPlan, 0.8).cacheHitRate();
        const std::string variant = gaps > 0.0 ? "8 nodes, 2 s late, 5 % lost" : "8 nodes, 2 s late";
        addResult(result, "prefixes", variant, "prompt tokens from cache", delayedHitRate);
        addResult(result, "prefixes", variant, "of the one that knows all", delayedHitRate / centralHitRate,
                  result_target{target_kind::at_least, 0.9});
    }
    return result;
}

experiments::result_list experiments::measureReclaim()
{
    result_list result;
    double restartTokens = 0.0;
    for (const recovery_policy policy :
         {recovery_policy::restart, recovery_policy::proceed, recovery_policy::transfer}) {
        replay_plan variantPlan = plan();
        variantPlan.recovery = policy;
        variantPlan.wave = reclaim_wave{m_span / 2, 1.0 / 3.0, std::chrono::seconds(1)};
        const replay_result run = replay(variantPlan, 0.6);
        const auto recomputedTokens = static_cast<double>(run.recomputedTokens);
        if (policy == recovery_policy::restart)
            restartTokens = recomputedTokens;
        const std::string variant(name(policy));
        addResult(result, "reclaim", variant, "tokens computed again", recomputedTokens);
        addResult(result, "reclaim", variant, "failed requests", static_cast<double>(run.total().failed));
        if (policy == recovery_policy::transfer && restartTokens > 0.0)
            addResult(result, "reclaim", variant, "of restart from the prompt",
                      recomputedTokens / restartTokens, result_target{target_kind::at_most, 0.1});
    }
    return result;
}

experiments::result_list experiments::measureRetryStorm()
{
    result_list result;
    constexpr duration outageTime = std::chrono::seconds(60);
    constexpr std::size_t smoothedSeconds = 3;
    replay_plan variantPlan = plan();
    const duration from = m_span / 2 - outageTime / 2;
    variantPlan.outage = total_outage{from, from + outageTime};
    const replay_result run = replay(variantPlan, 0.8);
    const double offered = std::max(1.0, static_cast<double>(run.outageRequests));
    addResult(result, "storm", "60 s without runners", "extra calls of requests",
              static_cast<double>(run.outageRetries) / offered, result_target{target_kind::at_most, 0.1});
    addResult(result, "storm", "60 s without runners", "calls to the runners of requests",
              static_cast<double>(run.outageAttempts) / offered);
    // Recovered once the fraction of requests answered within the targets, over a few seconds, is back
    // at 95 % of its value before the outage.
    const auto fractionWithinTarget = [&](std::size_t second) {
        double answered = 0.0;
        double offered = 0.0;
        for (std::size_t each = second; each < second + smoothedSeconds; ++each) {
            answered += static_cast<double>(run.withinTargetBySecond[each]);
            offered += static_cast<double>(run.offeredBySecond[each]);
        }
        return answered / std::max(offered, 1.0);
    };
    const auto begin = static_cast<std::size_t>(seconds(from));
    const double baselineFraction = fractionWithinTarget(begin - 10);
    std::size_t recovered = static_cast<std::size_t>(seconds(from + outageTime));
    const std::size_t end = recovered;
    while (recovered + smoothedSeconds < run.withinTargetBySecond.size()
           && fractionWithinTarget(recovered) < 0.95 * baselineFraction)
        ++recovered;
    addResult(result, "storm", "60 s without runners", "s until full goodput",
              static_cast<double>(recovered - end), result_target{target_kind::at_most, 10.0});
    addResult(result, "storm", "60 s without runners", "in target before, of offered", baselineFraction);
    return result;
}

} // namespace ivypier::replay
