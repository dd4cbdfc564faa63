#include "relay/upstream_rows.h"

#include "base/log_event.h"

#include <algorithm>

namespace ivypier::relay {

upstream_rows::upstream_rows(scheduler &tasks, upstream_directory &upstreams, decoder decode)
    : m_tasks(tasks)
    , m_upstreams(upstreams)
    , m_decode(std::move(decode))
    , m_listings(tasks)
{
}

void upstream_rows::onListingChanged(listing_handler handler)
{
    m_onListingChanged = std::move(handler);
}

void upstream_rows::tell(const upstream_listing &update) const
{
    if (m_onListingChanged)
        m_onListingChanged(update);
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
            scheduleRemoval(row.key, row.version, uncertainFor);
        else
            remove(row.key, row.version);
        return m_lastRecords.erase(row.key) > 0;
    }
    const auto record = read(row);
    // A node that is behind may tell a row that is older than the absence.
    if (record && m_listings.isAbsentSince(record->id, row.version))
        return false;
    cancelRemoval(row.key);
    if (!record)
        return false;
    recordListed(record->id, row.version);
    m_upstreams.confirm(record->id);
    const auto [known, isNew] = m_lastRecords.try_emplace(row.key, *record);
    // A heartbeat writes the row without changing the record.
    if (!isNew && known->second == *record && m_upstreams.find(record->id))
        return false;
    known->second = *record;
    m_upstreams.put(*record);
    return true;
}

void upstream_rows::recordListed(const std::string &id, std::uint64_t rowVersion)
{
    const upstream_listing *known = m_listings.find(id);
    const bool wasAbsent = known && !known->isListed;
    const upstream_listing update{id, rowVersion, true};
    if (m_listings.apply(update) && wasAbsent)
        tell(update);
}

void upstream_rows::applyListing(const upstream_listing &update)
{
    const upstream_listing *known = m_listings.find(update.id);
    if (known && known->isListed && !update.isListed && known->version > update.version) {
        tell(*known); // the other node is behind
        return;
    }
    if (!m_listings.apply(update))
        return;
    if (update.isListed)
        showAgain(update.id);
    else
        hide(update.id);
}

void upstream_rows::hide(const std::string &id)
{
    const upstream *listed = m_upstreams.find(id);
    if (!listed)
        return;
    log_event(log_level::info, "upstream.absent").with("id", id).with("told_by", "another node").write();
    const std::string key = listed->record.stableName();
    cancelRemoval(key);
    m_upstreams.remove(id);
}

void upstream_rows::showAgain(const std::string &id)
{
    const auto found = std::find_if(m_lastRecords.begin(), m_lastRecords.end(),
                                    [&](const auto &each) { return each.second.id == id; });
    if (found != m_lastRecords.end() && !m_upstreams.find(id))
        m_upstreams.put(found->second);
}

void upstream_rows::scheduleRemoval(const std::string &key, std::uint64_t tableVersion, duration after)
{
    if (m_pendingRemovals.contains(key))
        return;
    m_pendingRemovals[key] = m_tasks.after(after, [this, key, tableVersion] {
        m_pendingRemovals.erase(key);
        remove(key, tableVersion);
    });
}

void upstream_rows::remove(const std::string &key, std::uint64_t tableVersion)
{
    const upstream *listed = m_upstreams.findByName(key);
    if (!listed)
        return;
    const upstream_listing update{listed->record.id, tableVersion, false};
    const upstream_listing *known = m_listings.find(update.id);
    if (known && known->isListed && known->version > tableVersion)
        return; // another node has read a newer row
    // All nodes are told that an upstream drains, which is final.
    const bool isTold = listed->record.draining;
    m_upstreams.remove(update.id);
    if (m_listings.apply(update) && !isTold)
        tell(update);
}

} // namespace ivypier::relay
