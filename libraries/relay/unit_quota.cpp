#include "relay/unit_quota.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// The shortest time that a refused caller is told to wait.
constexpr duration least_wait = std::chrono::milliseconds(20);

} // namespace

unit_quota::unit_quota(const clock &time)
    : m_time(time)
{
}

double unit_quota::capacity(const bucket &of) const
{
    return m_part * std::max(of.burst, 1.0);
}

void unit_quota::fill(bucket &which) const
{
    const time_point now = m_time.now();
    const double gained = m_part * which.perSecond * seconds(now - which.filledAt);
    which.units = std::min(which.units + gained, capacity(which));
    which.filledAt = now;
}

void unit_quota::setAccounts(const std::vector<client_account> &accounts)
{
    std::map<std::string, bucket> next;
    for (const client_account &each : accounts) {
        bucket fresh{each.unitsPerSecond, each.burst, 0.0, m_time.now()};
        const auto known = m_buckets.find(each.name);
        if (known != m_buckets.end() && known->second.perSecond > 0.0) {
            fill(known->second);
            // A higher limit adds nothing at once, a lower one takes away what was saved above it.
            fresh.units = std::min(known->second.units, capacity(fresh));
        } else {
            fresh.units = capacity(fresh);
        }
        next.emplace(each.name, fresh);
    }
    m_buckets = std::move(next);
}

void unit_quota::setPart(double part)
{
    for (auto &[account, each] : m_buckets)
        fill(each);
    m_part = part;
    for (auto &[account, each] : m_buckets)
        each.units = std::min(each.units, capacity(each));
}

duration unit_quota::take(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.perSecond <= 0.0)
        return duration::zero();
    bucket &which = found->second;
    fill(which);
    // A call larger than the bucket is let through when the bucket is full, and leaves a debt.
    const double needed = std::min(units, capacity(which));
    if (which.units >= needed) {
        which.units -= units;
        return duration::zero();
    }
    return std::max(fromSeconds((needed - which.units) / (m_part * which.perSecond)), least_wait);
}

void unit_quota::giveBack(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    found->second.units = std::min(found->second.units + units, capacity(found->second));
}

} // namespace ivypier::relay
