#include "relay/call_rollouts.h"

#include <utility>

namespace ivypier::relay {

call_rollouts::call_rollouts(const clock &time, random_source &randomness)
    : m_gate(time, randomness)
{
}

void call_rollouts::setOrders(const std::vector<delivery::rollout_order> &orders)
{
    m_gate.setOrders(orders);
    m_services.clear();
    for (const delivery::rollout_order &each : orders)
        m_services.push_back(each.service);
    dropEndedEvidence();
}

void call_rollouts::setStatus(const delivery::rollout_status &status, time_point statedAt)
{
    m_gate.setStatus(status, statedAt);
    dropEndedEvidence();
}

void call_rollouts::dropEndedEvidence()
{
    std::map<std::string, std::uint64_t> orders;
    for (const std::string &each : m_services) {
        if (const std::uint64_t order = m_gate.orderInProgress(each); order != 0)
            orders[each] = order;
    }
    m_evidence.retainOrders(orders);
    if (orders.empty())
        m_taken.clear();
}

call_rollouts::samples call_rollouts::takeSamples(bool all)
{
    samples result;
    for (delivery::version_evidence::sample &each : m_evidence.samples()) {
        if (std::exchange(m_taken[each.first], each.second) != each.second || all)
            result.push_back(std::move(each));
    }
    return result;
}

} // namespace ivypier::relay
