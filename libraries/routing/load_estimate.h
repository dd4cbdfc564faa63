#pragma once

#include "base/clock.h"
#include "upstream/model_engine.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ivypier::routing {

/// How fast an upstream works, where it has not reported that itself.
struct service_speed
{
    double prefillTokensPerSecond = 4000.0;
    double decodeSecondsPerToken = 0.02;
    double streamSeconds = 1.0; ///< mean time from an attempt's first token to its end
    std::uint32_t streamLimit = 8;

    auto operator<=>(const service_speed &) const = default;
};

/// Work at one upstream or at several.
struct upstream_work
{
    double streams = 0.0; ///< running and waiting
    double prefillSeconds = 0.0; ///< prompts not processed yet

    auto operator<=>(const upstream_work &) const = default;
};

/// What all followed upstreams of a service have in common, for those whose ownWork report is old.
struct fleet_work
{
    upstream_work others; ///< of other nodes, for each stream that an upstream can batch
    double growth = 1.0; ///< this node's work now against when the reports were taken

    auto operator<=>(const fleet_work &) const = default;
};

/// One upstream's load as this node sees it: its ownWork attempts, which it knows exactly, and the work of
/// other nodes, from the last report. The older a report is, the less it tells this upstream from the others
/// of its service, and the more their mean counts instead.
class load_estimate
{
public:
    /// The upstream reported; the report was `lag` old already.
    void reported(const upstream::engine_load &load, duration lag, time_point now);

    /// An attempt was sent that has `prefillSeconds` of prompt to process.
    void dispatched(const std::string &attempt, double prefillSeconds, time_point now);

    /// An attempt's prompt has been processed.
    void firstToken(const std::string &attempt, time_point now);

    /// An attempt ended.
    void finished(const std::string &attempt, time_point now);

    /// Expected time in seconds until a new attempt's prompt is begun.
    double waitSeconds(const service_speed &fallback, const fleet_work &fleet, time_point now) const;

    /// The speed it reported, else `fallback`.
    service_speed speed(const service_speed &fallback) const;

    /// This node's work there now.
    upstream_work ownWork() const;

    /// This node's work there when the last report was taken.
    upstream_work ownWorkAtReport() const;

    /// The other nodes' work there when the last report was taken; none without a report.
    upstream_work othersWorkAtReport() const;

    const std::optional<upstream::engine_load> &lastReport() const;

    /// When the last report came; the clock's origin when none did.
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
    time_point m_measuredAt{}; ///< when the report was true
    upstream_work m_ownWork;
    upstream_work m_ownWorkAtReport;
    upstream_work m_othersWorkAtReport;
    std::deque<work_sample> m_ownWorkHistory; ///< this node's work after each change, oldest first
    std::map<std::string, own_attempt> m_attempts;
};

} // namespace ivypier::routing
