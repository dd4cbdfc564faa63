#include "placement/start_backoff.h"

#include <algorithm>
#include <cmath>

namespace ivypier::placement {

namespace {

constexpr duration initial_backoff = std::chrono::seconds(30);
constexpr duration max_backoff = std::chrono::minutes(10);
constexpr duration min_backoff = std::chrono::seconds(2);
constexpr unsigned max_doublings = 16;

} // namespace

start_backoff::start_backoff(const clock &time, random_source &randomness)
    : m_time(time)
    , m_random(randomness)
{
}

void start_backoff::recordRefusal(const vm_type &type)
{
    refusal &known = m_refusals[type];
    if (m_time.now() < known.until)
        return; // another order of the same cycle was refused
    const double maxSeconds = std::min(
        seconds(max_backoff), seconds(initial_backoff) * std::exp2(std::min(known.count, max_doublings)));
    ++known.count;
    known.until = m_time.now() + std::max(min_backoff, fromSeconds(maxSeconds * m_random.uniform()));
}

void start_backoff::recordSuccess(const vm_type &type)
{
    m_refusals.erase(type);
}

bool start_backoff::allows(const vm_type &type) const
{
    const auto found = m_refusals.find(type);
    return found == m_refusals.end() || m_time.now() >= found->second.until;
}

} // namespace ivypier::placement
