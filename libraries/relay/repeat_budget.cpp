#include "relay/repeat_budget.h"

namespace ivypier::relay {

repeat_budget::repeat_budget(const clock &time, repeat_budget_options options)
    : m_time(time)
    , m_options(options)
{
}

void repeat_budget::setSlack(double slack)
{
    m_options.slack = slack;
}

repeat_budget::slot &repeat_budget::currentSlot(const std::string &service)
{
    const duration width = m_options.window / slot_count;
    const std::int64_t number = m_time.now().time_since_epoch() / width;
    slot &current = m_services[service][static_cast<std::size_t>(number) % slot_count];
    if (current.number != number)
        current = {number, 0.0, 0.0};
    return current;
}

void repeat_budget::noteFirst(const std::string &service)
{
    currentSlot(service).first += 1.0;
}

bool repeat_budget::take(const std::string &service)
{
    slot &current = currentSlot(service);
    double first = 0.0;
    double repeated = 0.0;
    for (const slot &each : m_services[service]) {
        if (each.number <= current.number - static_cast<std::int64_t>(slot_count))
            continue;
        first += each.first;
        repeated += each.repeated;
    }
    if (repeated + 1.0 > m_options.ratio * first + m_options.slack)
        return false;
    current.repeated += 1.0;
    return true;
}

} // namespace ivypier::relay
