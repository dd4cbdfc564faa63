#include "relay/retry_budget.h"

#include <algorithm>

namespace ivypier::relay {

retry_budget::retry_budget(const clock &time, retry_budget_options options)
    : m_time(time)
    , m_options(options)
    , m_startedAt(time.now())
{
}

void retry_budget::setSlack(double slack)
{
    m_options.slack = slack;
}

void retry_budget::setNodes(std::size_t count)
{
    m_nodes = std::max<std::size_t>(count, 1);
}

std::int64_t retry_budget::currentNumber() const
{
    const duration width = m_options.window / slot_count;
    return m_time.now().time_since_epoch() / width;
}

retry_budget::slot &retry_budget::currentSlot(const std::string &service)
{
    const std::int64_t number = currentNumber();
    slot &current = m_services[service][static_cast<std::size_t>(number) % slot_count];
    if (current.number != number)
        current = {number, 0.0, 0.0};
    return current;
}

void retry_budget::recordFirstAttempt(const std::string &service)
{
    currentSlot(service).firstAttempts += 1.0;
}

bool retry_budget::take(const std::string &service)
{
    const retry_budget_state state = stateOf(service);
    if (state.retries + 1.0 > state.ratio * state.firstAttempts + state.slack)
        return false;
    currentSlot(service).retries += 1.0;
    return true;
}

retry_budget_state retry_budget::stateOf(const std::string &service) const
{
    retry_budget_state result;
    result.ratio = m_options.ratio;
    result.slack = m_options.slack / static_cast<double>(m_nodes);
    if (m_options.ratioAfterStart && m_time.now() - m_startedAt < m_options.window) {
        result.ratio = *m_options.ratioAfterStart;
        result.slack = 0.0;
    }
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return result;
    for (const slot &each : found->second) {
        if (each.number <= currentNumber() - static_cast<std::int64_t>(slot_count))
            continue;
        result.firstAttempts += each.firstAttempts;
        result.retries += each.retries;
    }
    return result;
}

} // namespace ivypier::relay
