#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "membership/gossip_sender.h"
#include "membership/local_health.h"
#include "membership/member_table.h"

#include <functional>
#include <optional>
#include <vector>

namespace ivypier::membership {

/// Collaborators of a failure_detector. Every reference must outlive it.
struct failure_detector_dependencies
{
    const clock &time;
    random_source &randomness;
    const member_table &members;
    gossip_sender &sender;
    local_health &health;
    std::function<void(incarnation)> onProbeFailed; ///< direct and indirect probes got no answer
    std::function<void(incarnation)> onReplaced; ///< another incarnation answers at its address
};

/// Probes one member per period, in shuffled rounds over all members: first directly, then through helpers in
/// other failure domains (SWIM, Das et al. 2002). Local health and nacks follow Lifeguard (Dadgar 2017).
class failure_detector
{
public:
    explicit failure_detector(failure_detector_dependencies dependencies);

    /// Runs the steps that are due. Must be called at least every tick_interval.
    void tick();

    /// Abandons the current probe and all relayed ones; for use after the process was suspended.
    void reset();

    void onPing(const gossip_message &message, const endpoint &from);
    void onPingRequest(const gossip_message &message, const endpoint &from);
    void onAcknowledge(const gossip_message &message);
    void onNack(const gossip_message &message);

private:
    struct probe
    {
        incarnation target = 0;
        std::uint32_t sequence = 0;
        time_point directDeadline;
        time_point deadline;
        bool indirect = false;
        std::size_t requestsSent = 0;
        std::size_t nacksReceived = 0; ///< helpers that got no answer from the target either
    };

    struct relayed_probe
    {
        std::uint32_t sequence = 0;
        endpoint requester;
        std::uint32_t requesterSequence = 0;
        time_point deadline;
    };

    void startProbe(time_point now);
    void sendPingRequests();
    void failProbe();
    void expireRelayedProbes(time_point now);
    incarnation nextTarget();
    std::vector<const member_record *> selectHelpers(const member_record &target) const;

    failure_detector_dependencies m_dependencies;
    std::uint32_t m_sequence;
    time_point m_nextProbe;
    std::optional<probe> m_probe;
    std::vector<relayed_probe> m_relayedProbes;
    std::vector<incarnation> m_round; ///< members not yet probed in this round
};

/// Interval between two calls of failure_detector::tick().
inline constexpr duration tick_interval = std::chrono::milliseconds(50);

/// Interval between two probes, before jitter and the local health multiplier.
inline constexpr duration probe_period = std::chrono::milliseconds(500);

} // namespace ivypier::membership
