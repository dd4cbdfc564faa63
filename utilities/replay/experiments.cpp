#include "experiments.h"

#include "virtual_replay.h"

#include <algorithm>
#include <map>

namespace ivypier::replay {

namespace {

constexpr figure_target first_token_target{target_kind::at_most, 0.57};
constexpr figure_target between_tokens_target{target_kind::at_most, 0.051};

/// Part of a trace's time that is measured: its noon.
constexpr double measured_from = 0.35;
constexpr double measured_until = 0.65;

/// More than the engines can do, to keep them busy.
constexpr double saturating_rate = 20.0;

const std::vector<routing_policy> every_routing
    = {routing_policy::round_robin, routing_policy::least_reported, routing_policy::least_dispatched,
       routing_policy::expected_time_no_prefixes, routing_policy::expected_time};

std::string loadText(double load)
{
    return load == 1.0 ? " at 1.0" : load == 2.0 ? " at 2.0" : " at " + std::to_string(load).substr(0, 3);
}

} // namespace

std::vector<figure> recordedFigures(const std::string &trace, const replay_result &run)
{
    std::vector<figure> result;
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

outcome<std::vector<figure>> experiments::run(const std::string &experiment)
{
    const std::map<std::string, figures (experiments::*)()> known
        = {{"capacity", &experiments::measureCapacity},   {"routing", &experiments::measureRouting},
           {"staleness", &experiments::measureStaleness}, {"admission", &experiments::measureAdmission},
           {"prefixes", &experiments::measurePrefixes},   {"reclaim", &experiments::measureReclaim},
           {"storm", &experiments::measureStorm}};
    const auto found = known.find(experiment);
    if (found == known.end())
        return error{error_code::not_found, "no experiment \"" + experiment + "\""};
    return (this->*found->second)();
}

replay_result experiments::typicalRun()
{
    return replay(plan(), 1.0);
}

double experiments::capacity()
{
    if (m_capacity > 0.0)
        return m_capacity;
    replay_plan saturated = plan();
    saturated.nodes = 1;
    saturated.reportAge = duration::zero();
    saturated.reportInterval = std::chrono::milliseconds(20);
    saturated.admission = admission_choice::none;
    saturated.drain = false;
    seeded_random randomness(m_seed);
    const trace requests = generateTrace(
        m_parameters, saturating_rate * static_cast<double>(saturated.runners), m_span / 4, randomness);
    saturated.measuredFrom = m_span / 20;
    saturated.measuredUntil = m_span / 4;
    m_capacity = virtual_replay(saturated, requests).run().throughput();
    return m_capacity;
}

/// A trace whose rate at noon, over the measured time, is `load` times the capacity.
trace experiments::requestsAt(double load)
{
    seeded_random randomness(m_seed + 7);
    const double wanted = load * capacity();
    double mean = wanted / m_parameters.peak;
    trace requests;
    // The curve and the conversations' later turns shift the peak; two corrections bring it to the load.
    for (int correction = 0; correction < 3; ++correction) {
        seeded_random again(m_seed + 7);
        requests = generateTrace(m_parameters, mean, m_span, again);
        const auto inside = std::count_if(requests.begin(), requests.end(), [&](const trace_request &each) {
            return each.at >= plan().measuredFrom && each.at < plan().measuredUntil;
        });
        const double rate = static_cast<double>(inside) / seconds(plan().measuredUntil - plan().measuredFrom);
        mean *= wanted / std::max(rate, 1e-9);
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
    const trace requests = requestsAt(load);
    return virtual_replay(plan, requests).run();
}

void experiments::add(figures &to, const std::string &experiment, const std::string &variant,
                      const std::string &metric, double value, std::optional<figure_target> target) const
{
    to.push_back({experiment, m_parameters.deployment, variant, metric, value, target});
}

experiments::figures experiments::measureCapacity()
{
    figures result;
    add(result, "capacity", "10 runners, saturated", "answers/s", capacity());
    return result;
}

experiments::figures experiments::measureRouting()
{
    figures result;
    for (const routing_policy policy : every_routing) {
        replay_plan with = plan();
        with.routing = policy;
        with.admission = admission_choice::none;
        const replay_result run = replay(with, 0.8);
        const request_counts total = run.total();
        const std::string variant = std::string(name(policy)) + " at 0.8, takes all";
        add(result, "routing", variant, "first token p50 s", quantile(total.firstTokenSeconds, 0.5));
        add(result, "routing", variant, "first token p95 s", quantile(total.firstTokenSeconds, 0.95));
        add(result, "routing", variant, "goodput of capacity", run.goodput() / capacity());
        add(result, "routing", variant, "prompt tokens from cache", run.hitRate());
        add(result, "routing", variant, "imbalance", run.imbalance);
    }
    return result;
}

experiments::figures experiments::measureStaleness()
{
    figures result;
    for (const routing_policy policy : {routing_policy::least_reported, routing_policy::expected_time}) {
        replay_plan fresh = plan();
        fresh.routing = policy;
        fresh.admission = admission_choice::none;
        fresh.reportAge = duration::zero();
        fresh.reportInterval = std::chrono::milliseconds(20);
        replay_plan old = fresh;
        old.reportAge = std::chrono::seconds(2);
        old.reportInterval = std::chrono::milliseconds(500);
        const double imbalanceFresh = replay(fresh, 0.8).imbalance;
        const double imbalanceOld = replay(old, 0.8).imbalance;
        const std::string variant(name(policy));
        add(result, "staleness", variant, "imbalance, fresh reports", imbalanceFresh);
        add(result, "staleness", variant, "imbalance, reports 2 s old", imbalanceOld);
        const bool ours = policy == routing_policy::expected_time;
        add(result, "staleness", variant, "old against fresh", imbalanceOld / imbalanceFresh,
            ours ? std::optional(figure_target{target_kind::at_most, 1.2}) : std::nullopt);
    }
    return result;
}

experiments::figures experiments::measureAdmission()
{
    figures result;
    for (const double load : {1.0, 2.0}) {
        for (const admission_choice policy :
             {admission_choice::none, admission_choice::deadline, admission_choice::early_refusal}) {
            replay_plan with = plan();
            with.admission = policy;
            const replay_result run = replay(with, load);
            const request_counts total = run.total();
            const bool ours = policy == admission_choice::early_refusal;
            const std::string variant = std::string(name(policy)) + loadText(load);
            const auto held
                = [&](figure_target target) { return ours ? std::optional(target) : std::nullopt; };
            add(result, "admission", variant, "first token p95 s", quantile(total.firstTokenSeconds, 0.95),
                load == 1.0 ? held(first_token_target) : std::nullopt);
            add(result, "admission", variant, "between tokens p95 s",
                quantile(total.betweenTokensSeconds, 0.95), held(between_tokens_target));
            add(result, "admission", variant, "goodput of capacity", run.goodput() / capacity(),
                load == 2.0 ? held({target_kind::at_least, 0.9}) : std::nullopt);
            add(result, "admission", variant, "worth in target of offered",
                run.worthInTarget / std::max(run.worthOffered, 1e-9));
            add(result, "admission", variant, "prompt tokens from cache", run.hitRate());
            add(result, "admission", variant, "refused of offered",
                static_cast<double>(total.refused)
                    / static_cast<double>(std::max<std::uint64_t>(total.offered, 1)));
            add(result, "admission", variant, "accepted though expected late",
                static_cast<double>(total.lateByChoice), held({target_kind::at_most, 0.0}));
        }
    }
    return result;
}

experiments::figures experiments::measurePrefixes()
{
    figures result;
    replay_plan knowing = plan();
    knowing.nodes = 1;
    knowing.reportAge = duration::zero();
    knowing.reportInterval = std::chrono::milliseconds(20);
    const double best = replay(knowing, 0.8).hitRate();
    add(result, "prefixes", "one router that knows all", "prompt tokens from cache", best);
    for (const double gaps : {0.0, 0.05}) {
        replay_plan with = plan();
        with.eventGaps = gaps;
        const double rate = replay(with, 0.8).hitRate();
        const std::string variant = gaps > 0.0 ? "8 nodes, 2 s late, 5 % lost" : "8 nodes, 2 s late";
        add(result, "prefixes", variant, "prompt tokens from cache", rate);
        add(result, "prefixes", variant, "of the one that knows all", rate / best,
            figure_target{target_kind::at_least, 0.9});
    }
    return result;
}

experiments::figures experiments::measureReclaim()
{
    figures result;
    double restarted = 0.0;
    for (const recovery_policy policy :
         {recovery_policy::restart, recovery_policy::proceed, recovery_policy::transfer}) {
        replay_plan with = plan();
        with.recovery = policy;
        with.wave = reclaim_wave{m_span / 2, 1.0 / 3.0, std::chrono::seconds(1)};
        const replay_result run = replay(with, 0.6);
        const auto again = static_cast<double>(run.recomputedTokens);
        if (policy == recovery_policy::restart)
            restarted = again;
        const std::string variant(name(policy));
        add(result, "reclaim", variant, "tokens computed again", again);
        add(result, "reclaim", variant, "failed requests", static_cast<double>(run.total().failed));
        if (policy == recovery_policy::transfer && restarted > 0.0)
            add(result, "reclaim", variant, "of restart from the prompt", again / restarted,
                figure_target{target_kind::at_most, 0.1});
    }
    return result;
}

experiments::figures experiments::measureStorm()
{
    figures result;
    constexpr duration outageTime = std::chrono::seconds(60);
    constexpr std::size_t smoothedSeconds = 3;
    replay_plan with = plan();
    const duration from = m_span / 2 - outageTime / 2;
    with.outage = total_outage{from, from + outageTime};
    const replay_result run = replay(with, 0.8);
    const double offered = std::max(1.0, static_cast<double>(run.outageRequests));
    add(result, "storm", "60 s without runners", "extra calls of requests",
        static_cast<double>(run.outageRepeats) / offered, figure_target{target_kind::at_most, 0.1});
    add(result, "storm", "60 s without runners", "calls to the runners of requests",
        static_cast<double>(run.outageCalls) / offered);
    // Recovered when, over a few seconds, as large a part is answered in target as before.
    const auto partAt = [&](std::size_t second) {
        double answered = 0.0;
        double offered = 0.0;
        for (std::size_t each = second; each < second + smoothedSeconds; ++each) {
            answered += static_cast<double>(run.inTargetBySecond[each]);
            offered += static_cast<double>(run.offeredBySecond[each]);
        }
        return answered / std::max(offered, 1.0);
    };
    const auto begin = static_cast<std::size_t>(seconds(from));
    const double before = partAt(begin - 10);
    std::size_t recovered = static_cast<std::size_t>(seconds(from + outageTime));
    const std::size_t end = recovered;
    while (recovered + smoothedSeconds < run.inTargetBySecond.size() && partAt(recovered) < 0.95 * before)
        ++recovered;
    add(result, "storm", "60 s without runners", "s until full goodput", static_cast<double>(recovered - end),
        figure_target{target_kind::at_most, 10.0});
    add(result, "storm", "60 s without runners", "in target before, of offered", before);
    return result;
}

} // namespace ivypier::replay
