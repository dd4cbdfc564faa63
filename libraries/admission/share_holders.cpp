#include "admission/share_holders.h"

namespace ivypier::admission {

share_holders::share_holders(share_terms terms)
    : m_terms(terms)
{
}

void share_holders::update(const membership::membership_view &members, time_point now)
{
    // A node that was paused may have been taken for dead, and counts as new.
    const bool paused = now - m_updatedAt > m_terms.isolation;
    if (!m_joinedAt || paused) {
        m_rejoining = m_joinedAt.has_value();
        m_joinedAt = now + m_terms.join;
    }
    m_updatedAt = now;

    std::set<membership::incarnation> seen;
    for (const membership::member &each : members.members()) {
        if (each.state == membership::member_state::dead)
            continue;
        seen.insert(each.id);
        note(each.id, each.takesWork() ? absence::none : absence::left, now);
    }
    for (auto &[id, holder] : m_holders) {
        if (!seen.contains(id))
            note(id, holder.kind == absence::left ? absence::left : absence::vanished, now);
    }
    m_leaving = !members.self().takesWork();
    forgetAbsent(now);

    m_counted.clear();
    for (const auto &[id, holder] : m_holders)
        m_counted.insert(id);
    const bool isolated = presentCount() * 2 < m_counted.size();
    if (!isolated)
        m_isolatedSince.reset();
    else if (!m_isolatedSince)
        m_isolatedSince = now;
}

const std::set<membership::incarnation> &share_holders::counted() const
{
    return m_counted;
}

bool share_holders::isPresent(membership::incarnation holder) const
{
    const auto found = m_holders.find(holder);
    return found != m_holders.end() && found->second.kind == absence::none;
}

share_use share_holders::use(time_point now) const
{
    const bool outdated = now - m_updatedAt > m_terms.isolation;
    if (m_leaving || !m_joinedAt || outdated)
        return share_use::none;
    if (m_isolatedSince && now - *m_isolatedSince > m_terms.isolation)
        return share_use::none;
    if (now >= *m_joinedAt)
        return share_use::whole;
    return m_rejoining ? share_use::none : share_use::starting;
}

void share_holders::note(membership::incarnation holder, absence kind, time_point now)
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

void share_holders::forgetAbsent(time_point now)
{
    const bool majority = presentCount() * 2 > m_holders.size();
    std::erase_if(m_holders, [&](const auto &entry) {
        const holder_state &state = entry.second;
        if (state.kind == absence::left)
            return now - state.since >= m_terms.leave;
        return state.kind == absence::vanished && majority && now - state.since >= m_terms.death;
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
