#pragma once

#include "base/clock.h"
#include "upstream/model_engine.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ivypier::routing {

/// Speed and capacity of an upstream. The defaults apply until one is reported.
struct service_speed
{
    double prefillTokensPerSecond = 4000.0;
    double decodeSecondsPerToken = 0.02;
    double streamSeconds = 1.0; ///< mean time from an attempt's first token to its end
    std::uint32_t streamLimit = 8; ///< streams that an upstream can batch

    auto operator<=>(const service_speed &) const = default;
};

/// Amount of work at one upstream, or the sum over several.
struct upstream_work
{
    double streams = 0.0; ///< running and queued
    double prefillSeconds = 0.0; ///< time to process the prompts that are still pending

    auto operator<=>(const upstream_work &) const = default;
};

/// Aggregate over the polled upstreams of a service. Stands in for an upstream's own report as that gets old.
struct fleet_work
{
    upstream_work others; ///< work of the other nodes per stream slot
    double growth = 1.0; ///< ratio of this node's work now to its work when the reports were made

    auto operator<=>(const fleet_work &) const = default;
};

/// Estimates the load of one upstream from this node's own attempts, which are known exactly, and the work of
/// the other nodes, taken from the upstream's last report. The weight of a report falls with its age; the
/// mean of the service's polled upstreams takes its place.
class load_estimate
{
public:
    /// Records a load report that was made `lag` before `now`.
    void reported(const upstream::engine_load &load, duration lag, time_point now);

    /// Records that an attempt was sent whose prompt takes `prefillSeconds` to process.
    void dispatched(const std::string &attempt, double prefillSeconds, time_point now);

    /// Records that an attempt's prompt has been processed.
    void firstToken(const std::string &attempt, time_point now);

    /// Records that an attempt ended.
    void finished(const std::string &attempt, time_point now);

    /// Returns the expected time in seconds until the upstream starts to process a new attempt's prompt.
    double waitSeconds(const service_speed &fallback, const fleet_work &fleet, time_point now) const;

    /// Returns the reported speed; values that were not reported come from `fallback`.
    service_speed speed(const service_speed &fallback) const;

    /// Returns this node's current work at the upstream.
    upstream_work ownWork() const;

    /// Returns this node's work at the upstream at the time of the last report.
    upstream_work ownWorkAtReport() const;

    /// Returns the other nodes' work at the upstream at the time of the last report; zero without a report.
    upstream_work othersWorkAtReport() const;

    const std::optional<upstream::engine_load> &lastReport() const;

    /// Returns when the last report arrived, or the clock's origin if none has.
    time_point reportedAt() const;

private:
    struct own_attempt
    {
        double prefillSeconds = 0.0;
        bool prefilled = false;
    };

    struct work_sample
    {
        time_point recordedAt{};
        upstream_work work;
    };

    void recordOwnWork(time_point now);
    upstream_work ownWorkAt(time_point when) const;

    std::optional<upstream::engine_load> m_report;
    time_point m_reportedAt{};
    time_point m_measuredAt{}; ///< when the report was made
    upstream_work m_ownWork;
    upstream_work m_ownWorkAtReport;
    upstream_work m_othersWorkAtReport;
    std::deque<work_sample> m_ownWorkHistory; ///< this node's work after each change, oldest first
    std::map<std::string, own_attempt> m_attempts;
};

} // namespace ivypier::routing
