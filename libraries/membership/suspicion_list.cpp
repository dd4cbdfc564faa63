#include "membership/suspicion_list.h"

#include <algorithm>
#include <cmath>

namespace ivypier::membership {

namespace {

constexpr std::size_t max_confirmations = 2; ///< domains after the first one that shorten the timeout
constexpr double max_to_min_timeout_ratio = 4.0;
constexpr duration min_timeout_unit = std::chrono::milliseconds(1500); ///< times max(1, log10(members + 1))
constexpr std::size_t min_local_suspicion_limit = 2;
constexpr std::size_t members_per_local_suspicion = 16;

/// Returns the timeout of a suspicion, which falls with the logarithm of its confirmations.
duration suspicionTimeout(duration minTimeout, std::size_t confirmations, std::size_t maxConfirmations)
{
    if (maxConfirmations == 0 || confirmations >= maxConfirmations)
        return minTimeout;
    const double share = std::log(1.0 + static_cast<double>(confirmations))
        / std::log(1.0 + static_cast<double>(maxConfirmations));
    const double factor = max_to_min_timeout_ratio - (max_to_min_timeout_ratio - 1.0) * share;
    return fromSeconds(seconds(minTimeout) * factor);
}

} // namespace

bool suspicion_list::reportSuspect(incarnation id, generation at, const std::string &reporterDomain,
                                   bool local, time_point now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end() || found->second.generation < at) {
        suspicion &fresh = m_open[id] = suspicion{at, {}, local, now};
        if (!reporterDomain.empty())
            fresh.domains.insert(reporterDomain);
        return true;
    }
    suspicion &open = found->second;
    if (open.generation > at)
        return false;
    open.local = open.local || local;
    return !reporterDomain.empty() && open.domains.insert(reporterDomain).second;
}

void suspicion_list::forget(incarnation id)
{
    m_open.erase(id);
}

void suspicion_list::restartTimers(time_point now)
{
    for (auto &[id, open] : m_open)
        open.startedAt = now;
}

bool suspicion_list::isSuspectedLocally(incarnation id, generation at) const
{
    const auto found = m_open.find(id);
    return found != m_open.end() && found->second.generation == at && found->second.local;
}

std::size_t suspicion_list::localCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_open.begin(), m_open.end(), [](const auto &each) { return each.second.local; }));
}

std::size_t suspicion_list::size() const
{
    return m_open.size();
}

std::size_t suspicion_list::maxLocalSuspicions(std::size_t members)
{
    return std::max(min_local_suspicion_limit, members / members_per_local_suspicion);
}

duration suspicion_list::minTimeout(std::size_t members)
{
    const double scale = std::max(1.0, std::log10(static_cast<double>(members) + 1.0));
    return fromSeconds(seconds(min_timeout_unit) * scale);
}

std::vector<std::pair<incarnation, generation>> suspicion_list::expired(time_point now, duration minTimeout,
                                                                        std::size_t domains) const
{
    const std::size_t maxConfirmations = std::min(max_confirmations, domains > 0 ? domains - 1 : 0);
    std::vector<std::pair<incarnation, generation>> result;
    for (const auto &[id, open] : m_open) {
        const std::size_t confirmations = std::max<std::size_t>(open.domains.size(), 1) - 1;
        if (now - open.startedAt >= suspicionTimeout(minTimeout, confirmations, maxConfirmations))
            result.emplace_back(id, open.generation);
    }
    return result;
}

} // namespace ivypier::membership
