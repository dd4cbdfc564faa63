#pragma once

#include "base/clock.h"
#include "routing/router.h"
#include "upstream/model_engine.h"

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

/// One upstream's load as this node sees it: its last report, aged, and this node's own attempts since.
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

    /// Expected time in seconds until a new stream is begun: what waits before it, then a free place.
    double waitSeconds(const service_speed &typical, time_point now) const;

    /// The speed it reported, else `typical`.
    service_speed speed(const service_speed &typical) const;

    /// Own attempts in flight.
    std::size_t inFlight() const;

    const std::optional<upstream::engine_load> &lastReport() const;

    /// When the last report came; the clock's origin when none did.
    time_point reportedAt() const;

private:
    struct own_attempt;

    bool isReported(const own_attempt &own) const;
    void countUnreported();

    struct own_attempt
    {
        time_point sentAt{};
        double prefillSeconds = 0.0;
        bool prefilled = false;
    };

    std::optional<upstream::engine_load> m_report;
    time_point m_reportedAt{};
    time_point m_takenAt{}; ///< when the report was true
    std::uint32_t m_endedSince = 0; ///< own attempts counted in the report that ended after it
    std::map<std::string, own_attempt> m_own;
    std::size_t m_unreportedStreams = 0; ///< own attempts that the report does not count
    double m_unreportedPrefill = 0.0; ///< what is left of their prompts, in seconds
};

} // namespace ivypier::routing
