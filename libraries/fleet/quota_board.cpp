#include "fleet/quota_board.h"

#include "fleet/told_numbers.h"

namespace ivypier::fleet {

quota_board::quota_board(membership::membership_view &members, relay::unit_quota &quota, const clock &time)
    : m_members(members)
    , m_quota(quota)
    , m_time(time)
    , m_own(members, "taken")
    , m_startedAt(time.now())
{
}

void quota_board::update()
{
    const time_point now = m_time.now();
    if (m_quota.isShort() || now - m_toldAt >= relaxed_telling) {
        m_toldAt = now;
        m_own.tell(encodeNumbers(m_quota.takenHere()));
    }
    const membership::incarnation self = m_members.self().id;
    for (const membership::member &each : m_members.members()) {
        if (each.id == self)
            continue;
        if (const auto told = m_members.findFact(m_own.keyOf(each.id)))
            takeIn(each.id, decodeNumbers(told->value));
    }
}

void quota_board::takeIn(membership::incarnation node, const std::map<std::string, std::uint64_t> &taken)
{
    const auto known = m_known.find(node);
    const bool countsAll = m_time.now() - m_startedAt > first_sight_time;
    if (known == m_known.end() && !countsAll) {
        m_known[node] = taken;
        return;
    }
    std::map<std::string, std::uint64_t> &before = m_known[node];
    for (const auto &[account, units] : taken) {
        std::uint64_t &last = before[account];
        if (units > last)
            m_quota.takenElsewhere(account, static_cast<double>(units - last));
        last = units;
    }
}

} // namespace ivypier::fleet
