#include "membership/suspicion_list.h"

#include <algorithm>
#include <cmath>

namespace ivypier::membership {

namespace {

constexpr std::size_t most_confirmations = 2; ///< domains beyond the first that shorten a suspicion
constexpr double longest_over_shortest = 4.0;
constexpr duration shortest_unit = std::chrono::milliseconds(1500); ///< times log10 of the fleet
constexpr std::size_t least_own_suspicions = 2;
constexpr std::size_t members_per_own_suspicion = 16;

/// The time a suspicion lasts, falling with the logarithm of its confirmations.
duration lifetime(duration shortest, std::size_t confirmations, std::size_t wanted)
{
    if (wanted == 0 || confirmations >= wanted)
        return shortest;
    const double share
        = std::log(1.0 + static_cast<double>(confirmations)) / std::log(1.0 + static_cast<double>(wanted));
    const double factor = longest_over_shortest - (longest_over_shortest - 1.0) * share;
    return fromSeconds(seconds(shortest) * factor);
}

} // namespace

bool suspicion_list::accuse(incarnation id, generation at, const std::string &accuserDomain, bool own,
                            time_point now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end() || found->second.generation < at) {
        suspicion &fresh = m_open[id] = suspicion{at, {}, own, now};
        if (!accuserDomain.empty())
            fresh.domains.insert(accuserDomain);
        return true;
    }
    suspicion &open = found->second;
    if (open.generation > at)
        return false;
    open.own = open.own || own;
    return !accuserDomain.empty() && open.domains.insert(accuserDomain).second;
}

void suspicion_list::forget(incarnation id)
{
    m_open.erase(id);
}

void suspicion_list::restart(time_point now)
{
    for (auto &[id, open] : m_open)
        open.startedAt = now;
}

bool suspicion_list::accusedByOwn(incarnation id, generation at) const
{
    const auto found = m_open.find(id);
    return found != m_open.end() && found->second.generation == at && found->second.own;
}

std::size_t suspicion_list::ownCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_open.begin(), m_open.end(), [](const auto &each) { return each.second.own; }));
}

std::size_t suspicion_list::size() const
{
    return m_open.size();
}

std::size_t suspicion_list::ownLimit(std::size_t members)
{
    return std::max(least_own_suspicions, members / members_per_own_suspicion);
}

duration suspicion_list::shortest(std::size_t members)
{
    const double scale = std::max(1.0, std::log10(static_cast<double>(members) + 1.0));
    return fromSeconds(seconds(shortest_unit) * scale);
}

std::vector<std::pair<incarnation, generation>> suspicion_list::expired(time_point now, duration shortest,
                                                                        std::size_t domains) const
{
    const std::size_t wanted = std::min(most_confirmations, domains > 0 ? domains - 1 : 0);
    std::vector<std::pair<incarnation, generation>> result;
    for (const auto &[id, open] : m_open) {
        const std::size_t confirmations = std::max<std::size_t>(open.domains.size(), 1) - 1;
        if (now - open.startedAt >= lifetime(shortest, confirmations, wanted))
            result.emplace_back(id, open.generation);
    }
    return result;
}

} // namespace ivypier::membership
