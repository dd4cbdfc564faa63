#include "relay/retry_budget.h"

namespace ivypier::relay {

retry_budget::retry_budget(const clock &time, retry_budget_options options)
    : m_time(time)
    , m_options(options)
{
}

void retry_budget::setSlack(double slack)
{
    m_options.slack = slack;
}

retry_budget::slot &retry_budget::currentSlot(const std::string &service)
{
    const duration width = m_options.window / slot_count;
    const std::int64_t number = m_time.now().time_since_epoch() / width;
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
    slot &current = currentSlot(service);
    double firstAttempts = 0.0;
    double retries = 0.0;
    for (const slot &each : m_services[service]) {
        if (each.number <= current.number - static_cast<std::int64_t>(slot_count))
            continue;
        firstAttempts += each.firstAttempts;
        retries += each.retries;
    }
    if (retries + 1.0 > m_options.ratio * firstAttempts + m_options.slack)
        return false;
    current.retries += 1.0;
    return true;
}

} // namespace ivypier::relay
