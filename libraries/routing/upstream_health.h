#pragma once

#include "base/clock.h"
#include "base/random_source.h"

namespace ivypier::routing {

/// Whether one upstream may get work: it is set aside after failures in a row, and after a pause it gets one
/// request at a time as a probe until one is answered. The pause doubles with each failed probe and is
/// jittered, so that nodes don't all come back at once.
class upstream_health
{
public:
    /// Failures in a row, with no answer in between, that set an upstream aside.
    static constexpr unsigned ejection_failure_threshold = 3;

    static constexpr duration min_ejection_time = std::chrono::milliseconds(500);
    static constexpr duration max_ejection_time = std::chrono::seconds(4);

    /// True when it takes work without restriction.
    bool isEligible() const;

    /// True when it was set aside long enough ago for a probe, and no probe runs.
    bool isDueForProbe(time_point now) const;

    /// True while a probe runs.
    bool isProbing() const;

    /// An attempt was sent; true when it is the probe of an upstream that is set aside.
    bool dispatched();

    /// The upstream showed that it works.
    void succeeded();

    /// An attempt failed there; `wasProbe` as dispatched() said.
    void failed(bool wasProbe, time_point now, random_source &randomness);

    /// The probe ended without a verdict.
    void probeCancelled();

private:
    unsigned m_consecutiveFailures = 0;
    unsigned m_ejectionCount = 0; ///< since the last answer; 0: fit
    bool m_probing = false;
    time_point m_nextProbeAt{};
};

} // namespace ivypier::routing
