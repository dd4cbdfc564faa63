#pragma once

#include "fleet/metric_sample.h"
#include "relay/run_counter.h"
#include "relay/unit_quota.h"
#include "relay/upstream_directory.h"
#include "relay/work_meter.h"

#include <vector>

namespace ivypier::fleet {

/// The name under which nodes runReportRound the load of an upstream: a few digits of its hash. A collision
/// makes two upstreams look busier, nothing worse.
std::string upstreamDigest(const std::string &upstream);

/// Loads are told in whole tenths of a call.
inline constexpr double load_units_per_call = 10.0;

/// What this node tells the others.
class local_metrics
{
public:
    /// Windows whose runs are told each time, the current one included, and those told every few rounds, for
    /// nodes that begin to add up.
    static constexpr std::int64_t reported_windows = 2;
    static constexpr std::int64_t resent_windows = 5;
    static constexpr std::uint64_t rounds_per_resend = 4;

    local_metrics(const relay::unit_quota &quota, const relay::run_counter &runs,
                  const relay::upstream_directory &upstreams, const relay::work_meter &work);

    /// The metricSamples of a round; `window` is the current one.
    std::vector<metric_sample> collect(std::uint64_t round, std::int64_t window) const;

private:
    const relay::unit_quota &m_quota;
    const relay::run_counter &m_runs;
    const relay::upstream_directory &m_upstreams;
    const relay::work_meter &m_work;
};

} // namespace ivypier::fleet
