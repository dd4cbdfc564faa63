#include "admission/share_holders.h"

namespace ivypier::admission {

share_holders::share_holders(share_timeouts timeouts)
    : m_timeouts(timeouts)
{
}

void share_holders::update(const membership::membership_view &members, time_point now)
{
    // If this node was paused, the others may have declared it dead, so it joins anew.
    const bool paused = now - m_updatedAt > m_timeouts.isolationTimeout;
    if (!m_joinCompleteAt || paused) {
        m_rejoining = m_joinCompleteAt.has_value();
        m_joinCompleteAt = now + m_timeouts.joinDelay;
    }
    m_updatedAt = now;

    std::set<membership::incarnation> seen;
    for (const membership::member &each : members.members()) {
        if (each.state == membership::member_state::dead)
            continue;
        seen.insert(each.id);
        updateHolder(each.id, each.acceptsWork() ? absence::none : absence::left, now);
    }
    for (auto &[id, holder] : m_holders) {
        if (!seen.contains(id))
            updateHolder(id, holder.kind == absence::left ? absence::left : absence::vanished, now);
    }
    m_leaving = !members.self().acceptsWork();
    removeExpired(now);

    m_countedHolders.clear();
    for (const auto &[id, holder] : m_holders)
        m_countedHolders.insert(id);
    const bool isolated = presentCount() * 2 < m_countedHolders.size();
    if (!isolated)
        m_isolatedSince.reset();
    else if (!m_isolatedSince)
        m_isolatedSince = now;
}

const std::set<membership::incarnation> &share_holders::countedHolders() const
{
    return m_countedHolders;
}

bool share_holders::isPresent(membership::incarnation holder) const
{
    const auto found = m_holders.find(holder);
    return found != m_holders.end() && found->second.kind == absence::none;
}

share_usage share_holders::usage(time_point now) const
{
    const bool outdated = now - m_updatedAt > m_timeouts.isolationTimeout;
    if (m_leaving || !m_joinCompleteAt || outdated)
        return share_usage::none;
    if (m_isolatedSince && now - *m_isolatedSince > m_timeouts.isolationTimeout)
        return share_usage::none;
    if (now >= *m_joinCompleteAt)
        return share_usage::whole;
    return m_rejoining ? share_usage::none : share_usage::starting;
}

void share_holders::updateHolder(membership::incarnation holder, absence kind, time_point now)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end()) {
        if (kind == absence::none)
            m_holders[holder] = {kind, now};
        return;
    }
    if (found->second.kind != kind)
        found->second = {kind, now};
}

void share_holders::removeExpired(time_point now)
{
    const bool majority = presentCount() * 2 > m_holders.size();
    std::erase_if(m_holders, [&](const auto &entry) {
        const holder_state &state = entry.second;
        if (state.kind == absence::left)
            return now - state.since >= m_timeouts.leaveDelay;
        return state.kind == absence::vanished && majority && now - state.since >= m_timeouts.deathTimeout;
    });
}

std::size_t share_holders::presentCount() const
{
    std::size_t count = 0;
    for (const auto &[id, holder] : m_holders)
        count += holder.kind == absence::none ? 1 : 0;
    return count;
}

} // namespace ivypier::admission
