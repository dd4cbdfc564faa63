#include "placement/start_backoff.h"

#include <algorithm>
#include <cmath>

namespace ivypier::placement {

namespace {

constexpr duration first_backoff = std::chrono::seconds(30);
constexpr duration longest_backoff = std::chrono::minutes(10);
constexpr duration shortest_backoff = std::chrono::seconds(2);
constexpr unsigned most_doublings = 16;

} // namespace

start_backoff::start_backoff(const clock &time, random_source &randomness)
    : m_time(time)
    , m_random(randomness)
{
}

void start_backoff::refused(const vm_type &type)
{
    refusal &known = m_refusals[type];
    if (m_time.now() < known.until)
        return; // of the same round of orders
    const double most = std::min(seconds(longest_backoff),
                                 seconds(first_backoff) * std::exp2(std::min(known.count, most_doublings)));
    ++known.count;
    known.until = m_time.now() + std::max(shortest_backoff, fromSeconds(most * m_random.uniform()));
}

void start_backoff::succeeded(const vm_type &type)
{
    m_refusals.erase(type);
}

bool start_backoff::allows(const vm_type &type) const
{
    const auto found = m_refusals.find(type);
    return found == m_refusals.end() || m_time.now() >= found->second.until;
}

} // namespace ivypier::placement
