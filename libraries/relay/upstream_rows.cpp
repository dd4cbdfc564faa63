#include "relay/upstream_rows.h"

#include "base/log_event.h"

namespace ivypier::relay {

upstream_rows::upstream_rows(scheduler &tasks, upstream_directory &upstreams, decoder decode)
    : m_tasks(tasks)
    , m_upstreams(upstreams)
    , m_decode(std::move(decode))
{
}

std::optional<upstream_record> upstream_rows::read(const cloud::feed_row &row) const
{
    outcome<upstream_record> decoded = m_decode(row.key, row.value);
    if (decoded && lacksKnownStart(row.key, decoded.value()))
        decoded = error{error_code::invalid_argument, "the row does not state when the upstream started"};
    if (decoded)
        return std::move(decoded.value());
    log_event(log_level::warning, "upstream.unreadable")
        .with("id", row.key)
        .with("reason", decoded.error().message)
        .write();
    return std::nullopt;
}

bool upstream_rows::lacksKnownStart(const std::string &key, const upstream_record &record) const
{
    const auto known = m_lastRecords.find(key);
    return record.startedAt == 0 && known != m_lastRecords.end() && known->second.startedAt > 0;
}

void upstream_rows::cancelRemoval(const std::string &key)
{
    const auto found = m_pendingRemovals.find(key);
    if (found == m_pendingRemovals.end())
        return;
    m_tasks.cancel(found->second);
    m_pendingRemovals.erase(found);
}

bool upstream_rows::onChange(const cloud::feed_row &row, duration uncertainFor)
{
    if (row.removed) {
        if (uncertainFor > duration::zero() && m_upstreams.findByName(row.key))
            scheduleRemoval(row.key, uncertainFor);
        else
            remove(row.key);
        return m_lastRecords.erase(row.key) > 0;
    }
    cancelRemoval(row.key);
    const auto record = read(row);
    if (!record)
        return false;
    const auto [known, isNew] = m_lastRecords.try_emplace(row.key, *record);
    // A heartbeat writes the row without changing the record.
    if (!isNew && known->second == *record && m_upstreams.find(record->id))
        return false;
    known->second = *record;
    m_upstreams.put(*record);
    return true;
}

void upstream_rows::scheduleRemoval(const std::string &key, duration after)
{
    if (m_pendingRemovals.contains(key))
        return;
    m_pendingRemovals[key] = m_tasks.after(after, [this, key] {
        m_pendingRemovals.erase(key);
        remove(key);
    });
}

void upstream_rows::remove(const std::string &key)
{
    if (const upstream *listed = m_upstreams.findByName(key))
        m_upstreams.remove(std::string(listed->record.id));
}

} // namespace ivypier::relay
