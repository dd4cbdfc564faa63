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

/// What a detector works with; every reference outlives it.
struct failure_detector_parts
{
    const clock &time;
    random_source &randomness;
    const member_table &members;
    gossip_sender &sender;
    local_health &health;
    std::function<void(incarnation)> onProbeFailed; ///< no answer, direct or through others
    std::function<void(incarnation)> onReplaced; ///< another incarnation answers at its address
};

/// Probes one member a period, in a shuffled round over all of them: directly, then through members of other
/// failure domains (SWIM, Das et al. 2002; local health and "no answer" replies as in Lifeguard, Dadgar
/// 2017).
class failure_detector
{
public:
    explicit failure_detector(failure_detector_parts parts);

    /// Does what is due; at least every tick_interval.
    void tick();

    /// Gives up the probe that is under way: this process was stopped meanwhile.
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
        std::size_t nacksReceived = 0; ///< helpers that said they had no answer either
    };

    struct relayed_probe
    {
        std::uint32_t sequence = 0;
        endpoint requester;
        std::uint32_t requesterSequence = 0;
        time_point deadline;
    };

    void begin(time_point now);
    void sendPingRequests();
    void failProbe();
    void expireRelayedProbes(time_point now);
    incarnation nextTarget();
    std::vector<const member_record *> selectHelpers(const member_record &target) const;

    failure_detector_parts m_parts;
    std::uint32_t m_sequence;
    time_point m_nextProbe;
    std::optional<probe> m_probe;
    std::vector<relayed_probe> m_relayedProbes;
    std::vector<incarnation> m_round; ///< members still to probe in this round
};

/// Time between two looks at what is due.
inline constexpr duration tick_interval = std::chrono::milliseconds(50);

/// Time between two probes.
inline constexpr duration probe_period = std::chrono::milliseconds(500);

} // namespace ivypier::membership
