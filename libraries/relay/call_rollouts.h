#pragma once

#include "delivery/rollout_gate.h"
#include "delivery/version_evidence.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::relay {

/// The rollouts as the calls of this node see them: which versions they may use, and what they observed.
class call_rollouts
{
public:
    using samples = std::vector<delivery::version_evidence::sample>;

    call_rollouts(const clock &time, random_source &randomness);

    /// Sets the orders in force. Evidence of other orders is dropped.
    void setOrders(const std::vector<delivery::rollout_order> &orders);

    /// Takes a statement of the holder of the duties, made at `statedAt` by this node's clock. Evidence of an
    /// order that has ended is dropped.
    void setStatus(const delivery::rollout_status &status, time_point statedAt);

    delivery::rollout_gate &gate()
    {
        return m_gate;
    }
    const delivery::rollout_gate &gate() const
    {
        return m_gate;
    }
    delivery::version_evidence &evidence()
    {
        return m_evidence;
    }
    const delivery::version_evidence &evidence() const
    {
        return m_evidence;
    }

    /// Returns the totals of this node that changed since the last call, or all of them. There are none while
    /// no rollout is in progress.
    samples takeSamples(bool all);

private:
    void dropEndedEvidence();

    delivery::rollout_gate m_gate;
    delivery::version_evidence m_evidence;
    std::vector<std::string> m_services; ///< with an order
    std::map<std::string, std::uint64_t> m_taken; ///< totals as returned last, by name
};

} // namespace ivypier::relay
