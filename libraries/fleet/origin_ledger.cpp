#include "fleet/origin_ledger.h"

#include <algorithm>

namespace ivypier::fleet {

origin_ledger::origin_ledger(const clock &time)
    : m_time(time)
{
}

void origin_ledger::add(const origin_entry &entry, bool isOwn)
{
    dropExpired();
    const time_point now = m_time.now();
    const auto [found, isNew] = m_records.try_emplace(entry.stream);
    stored_record &stored = found->second;
    if (!isNew) {
        stored.isOwn = stored.isOwn || isOwn;
        stored.isConflicting
            = stored.isConflicting || entry.isConflicting || !stored.origin.agreesWith(entry.origin);
        m_expiries.erase({stored.expiresAt, entry.stream});
        stored.expiresAt = std::max(stored.expiresAt, now + entry.lifetime);
        m_expiries.emplace(stored.expiresAt, entry.stream);
        return;
    }
    stored = {entry.origin, now - entry.age, now + entry.lifetime, false, entry.isConflicting, isOwn};
    m_expiries.emplace(stored.expiresAt, entry.stream);
    while (m_records.size() > max_records)
        remove(m_expiries.begin()->second);
}

std::optional<origin_entry> origin_ledger::find(const relay::stream_key &stream)
{
    dropExpired();
    const auto found = m_records.find(stream);
    return found == m_records.end() ? std::nullopt : std::optional(entryOf(stream, found->second));
}

std::vector<origin_entry> origin_ledger::takeNotHandedOver()
{
    dropExpired();
    std::vector<origin_entry> result;
    for (auto &[stream, stored] : m_records) {
        if (!std::exchange(stored.isHandedOver, true))
            result.push_back(entryOf(stream, stored));
    }
    return result;
}

std::vector<origin_entry> origin_ledger::ownRecords(const std::string &service)
{
    dropExpired();
    std::vector<origin_entry> result;
    for (const auto &[stream, stored] : m_records) {
        if (stored.isOwn && stored.origin.service == service)
            result.push_back(entryOf(stream, stored));
    }
    return result;
}

void origin_ledger::dropExpired()
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_time.now())
        remove(m_expiries.begin()->second);
}

void origin_ledger::remove(const relay::stream_key &stream)
{
    const auto found = m_records.find(stream);
    if (found == m_records.end())
        return;
    m_expiries.erase({found->second.expiresAt, stream});
    m_records.erase(found);
}

origin_entry origin_ledger::entryOf(const relay::stream_key &stream, const stored_record &stored) const
{
    const time_point now = m_time.now();
    return {stream, stored.origin, now - stored.madeAt, std::max<duration>(stored.expiresAt - now, {}),
            stored.isConflicting};
}

} // namespace ivypier::fleet
