#pragma once

#include "relay/call_environment.h"
#include "relay/service_map.h"

#include <optional>
#include <string>

namespace ivypier::relay {

/// Records the outcome of one sending of a call as evidence on the version of its upstream, while a rollout
/// of its service is in progress.
///
/// Not counted: calls that the upstream did not run, and those that it answers with a wait, because they tell
/// about its load and not about its version.
class attempt_evidence
{
public:
    /// Records that the call was sent to an upstream of this version.
    attempt_evidence(call_environment &environment, const std::string &service,
                     const std::string &softwareVersion, const route &matched);

    /// Records that events of the stream arrived, or the whole good response to a plain call.
    void recordEvents();

    /// Records that the upstream failed the call.
    void recordFailure();

    /// Records that the call ended without the upstream's doing: its time was over, or the caller went away.
    /// A call that waited longer than its route's target for the first event counts as failed.
    void recordAbandoned();

private:
    void count(const char *metric) const;

    call_rollouts *m_rollouts; ///< null: the deployment has no rollouts
    metrics_registry &m_metrics;
    const clock &m_time;
    std::string m_version;
    duration m_targetLatency;
    duration m_targetGap;
    std::optional<delivery::evidence_key> m_key; ///< not set: no rollout, or the outcome is recorded
    time_point m_sentAt;
    time_point m_lastEventsAt{};
    bool m_hasEvents = false;
    bool m_hasGap = false;
};

} // namespace ivypier::relay
