#pragma once

#include "base/clock.h"
#include "base/random_source.h"

namespace ivypier::routing {

/// Tracks whether one upstream may receive requests. Consecutive failures eject it. After the ejection time
/// it gets one request at a time as a probe until one succeeds. The ejection time doubles with each failed
/// probe and is jittered, so that the nodes don't all send their probes at once.
class upstream_health
{
public:
    /// Consecutive failures, with no success in between, that eject an upstream.
    static constexpr unsigned ejection_failure_threshold = 3;

    static constexpr duration min_ejection_time = std::chrono::milliseconds(500);
    static constexpr duration max_ejection_time = std::chrono::seconds(4);

    /// Returns true if the upstream is not ejected.
    bool isEligible() const;

    /// Returns true if the upstream's ejection time has elapsed and no probe is in flight.
    bool isDueForProbe(time_point now) const;

    /// Returns true while a probe is in flight.
    bool isProbing() const;

    /// Records that an attempt was sent. Returns true if it is the probe of an ejected upstream.
    bool dispatched();

    /// Records a success, which ends an ejection.
    void succeeded();

    /// Records that an attempt failed. `wasProbe` is what dispatched() returned for it.
    void failed(bool wasProbe, time_point now, random_source &randomness);

    /// Records that the probe was cancelled, which is neither a success nor a failure.
    void probeCancelled();

private:
    unsigned m_consecutiveFailures = 0;
    unsigned m_ejectionCount = 0; ///< since the last success; 0: not ejected
    bool m_probing = false;
    time_point m_nextProbeAt{};
};

} // namespace ivypier::routing
