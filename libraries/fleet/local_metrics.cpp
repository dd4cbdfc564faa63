#include "fleet/local_metrics.h"

#include "base/hash.h"
#include "fleet/speed_table.h"

#include <map>

namespace ivypier::fleet {

namespace {

constexpr std::size_t upstream_digest_length = 6;
/// A node reports the speed of each upstream that it knows once in so many rounds.
constexpr std::uint64_t speed_report_rounds = 8;

} // namespace

std::string upstreamDigest(const std::string &upstream)
{
    return toHex(hash64(upstream)).substr(0, upstream_digest_length);
}

local_metrics::local_metrics(const relay::unit_quota &quota, const relay::run_counter &runs,
                             const relay::upstream_directory &upstreams, const relay::work_meter &work,
                             const relay::upstream_speed *speeds, relay::call_rollouts *rollouts)
    : m_quota(quota)
    , m_runs(runs)
    , m_upstreams(upstreams)
    , m_work(work)
    , m_speeds(speeds)
    , m_rollouts(rollouts)
{
}

std::int64_t local_metrics::firstReportedWindow(std::uint64_t round, std::int64_t window)
{
    return window + 1 - (round % rounds_per_resend == 0 ? resent_windows : reported_windows);
}

std::vector<metric_sample> local_metrics::collect(std::uint64_t round, std::int64_t window) const
{
    std::vector<metric_sample> metricSamples;
    for (const auto &[account, units] : m_quota.localUsage())
        metricSamples.push_back({metric_kind::consumed, account, 0, units});
    for (const auto &[account, units] : m_quota.localRefusals())
        metricSamples.push_back({metric_kind::refused, account, 0, units});
    for (const auto &[service, work] : m_work.current()) {
        metricSamples.push_back(
            {metric_kind::work, service, 0, static_cast<std::uint64_t>(work.tokensPerSecond)});
        metricSamples.push_back(
            {metric_kind::engine_speed, service, 0, static_cast<std::uint64_t>(work.engineTokensPerSecond)});
    }
    for (const relay::upstream *each : m_upstreams.all()) {
        if (each->running > 0)
            metricSamples.push_back({metric_kind::load, upstreamDigest(each->record.id), 0,
                                     static_cast<std::uint64_t>(each->load() * load_units_per_call)});
    }
    addSpeeds(metricSamples, round);
    for (std::int64_t each = firstReportedWindow(round, window); each <= window; ++each) {
        for (const auto &[account, count] : m_runs.countsOf(each))
            metricSamples.push_back({metric_kind::runs, account, each, count});
    }
    if (m_rollouts) {
        for (auto &[name, value] : m_rollouts->takeSamples(round % rounds_per_resend == 0))
            metricSamples.push_back({metric_kind::rollout_evidence, std::move(name), 0, value});
    }
    return metricSamples;
}

void local_metrics::addSpeeds(std::vector<metric_sample> &to, std::uint64_t round) const
{
    if (!m_speeds)
        return;
    for (const std::string &each : m_speeds->known()) {
        const relay::remote_speed own = m_speeds->ownSums(each);
        const std::string digest = upstreamDigest(each);
        if (own.steady.expected > 0.0 && isSpeedDue(digest, round, speed_report_rounds))
            to.push_back(toSample(metric_kind::upstream_speed, digest, own.steady));
        if (own.recent.expected > 0.0)
            to.push_back(toSample(metric_kind::upstream_slowdown, digest, own.recent));
    }
}

} // namespace ivypier::fleet
