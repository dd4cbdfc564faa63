#pragma once

#include "fleet/metric_sample.h"
#include "relay/call_rollouts.h"
#include "relay/run_counter.h"
#include "relay/unit_quota.h"
#include "relay/upstream_directory.h"
#include "relay/upstream_speed.h"
#include "relay/work_meter.h"

#include <vector>

namespace ivypier::fleet {

/// Returns the name under which nodes report the load of an upstream: the first digits of the hash of its ID.
/// If two digests collide, both upstreams look busier than they are; there is no other effect.
std::string upstreamDigest(const std::string &upstream);

/// Loads are reported in whole tenths of a call.
inline constexpr double load_units_per_call = 10.0;

/// Collects the metric samples that this node reports to the collectors. The totals of rollouts that did not
/// change since the last report are part of every `rounds_per_resend`th report only.
class local_metrics
{
public:
    /// Number of usage windows, including the current one, whose runs are part of every report. Every
    /// `rounds_per_resend` rounds the report covers `resent_windows`, for nodes that have just become
    /// collectors.
    static constexpr std::int64_t reported_windows = 2;
    static constexpr std::int64_t resent_windows = 5;
    static constexpr std::uint64_t rounds_per_resend = 4;

    local_metrics(const relay::unit_quota &quota, const relay::run_counter &runs,
                  const relay::upstream_directory &upstreams, const relay::work_meter &work,
                  const relay::upstream_speed *speeds = nullptr, relay::call_rollouts *rollouts = nullptr);

    /// Returns the first usage window whose runs are part of the report of a round.
    static std::int64_t firstReportedWindow(std::uint64_t round, std::int64_t window);

    /// Returns the samples to report in a round; `window` is the current usage window.
    std::vector<metric_sample> collect(std::uint64_t round, std::int64_t window) const;

private:
    void addSpeeds(std::vector<metric_sample> &to, std::uint64_t round) const;

    const relay::unit_quota &m_quota;
    const relay::run_counter &m_runs;
    const relay::upstream_directory &m_upstreams;
    const relay::work_meter &m_work;
    const relay::upstream_speed *m_speeds;
    relay::call_rollouts *m_rollouts;
};

} // namespace ivypier::fleet
