#include "cloud/table_follower.h"

#include "base/log_event.h"
#include "cloud/store_position.h"

#include <algorithm>
#include <utility>

namespace ivypier::cloud {

namespace {

/// Consecutive failures after which the table is also read from the fallback.
constexpr std::uint32_t failures_before_fallback = 2;

} // namespace

table_follower::table_follower(scheduler &tasks, random_source &randomness, change_feed &source,
                               change_feed *fallback, std::string table, table_observer &observer,
                               follower_options options)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_source(source)
    , m_fallback(fallback)
    , m_table(std::move(table))
    , m_observer(observer)
    , m_options(options)
{
}

void table_follower::start()
{
    readTable();
}

void table_follower::onResponse(std::function<void()> callback)
{
    m_onResponse = std::move(callback);
}

void table_follower::onTableUpdated(std::function<void()> callback)
{
    m_onTableUpdated = std::move(callback);
}

void table_follower::onReplacing(std::function<void(const feed_row &, const std::string &)> callback)
{
    m_onReplacing = std::move(callback);
}

std::optional<versioned_rows> table_follower::changesSince(std::uint64_t after) const
{
    if (!m_hasSnapshot || after < m_changeLogStart)
        return std::nullopt;
    std::map<std::string, std::uint64_t> newest;
    for (auto each = m_changeLog.rbegin(); each != m_changeLog.rend() && each->version > after; ++each)
        newest.emplace(each->key, each->version);
    versioned_rows result;
    result.version = m_version;
    for (const auto &[key, version] : newest) {
        const auto row = m_rows.find(key);
        const bool isRemoved = row == m_rows.end();
        result.rows.push_back({key, isRemoved ? version : row->second.version,
                               isRemoved ? std::string() : row->second.value, isRemoved});
    }
    return result;
}

versioned_rows table_follower::rows() const
{
    versioned_rows result;
    result.version = m_version;
    for (const auto &[key, row] : m_rows)
        result.rows.push_back(row);
    return result;
}

void table_follower::refresh()
{
    if (!m_connected && m_fallback) {
        listFromFallback();
        return;
    }
    if (!m_isListing)
        readTable();
}

void table_follower::readTable()
{
    const std::uint64_t callNumber = ++m_callNumber;
    m_isListing = true;
    m_source.list(m_table, [this, callNumber](const outcome<versioned_rows> &read) {
        m_isListing = false;
        if (callNumber != m_callNumber)
            return;
        if (!read) {
            recordFailure(read.error());
            return;
        }
        recordSuccess();
        applySnapshot(read.value());
        poll();
    });
}

void table_follower::poll()
{
    const std::uint64_t callNumber = ++m_callNumber;
    const duration timeout = m_connected ? m_options.pollTimeout : m_options.disconnectedPollTimeout;
    m_source.changes(m_table, m_version, timeout, [this, callNumber](const outcome<versioned_rows> &read) {
        if (callNumber != m_callNumber)
            return;
        if (!read && read.error().code == error_code::not_found) {
            log_event(log_level::info, "table.history_lost").with("table", m_table).write();
            readTable();
            return;
        }
        if (!read) {
            recordFailure(read.error());
            return;
        }
        recordSuccess();
        applyChanges(read.value());
        if (read.value().rows.empty())
            poll();
        else
            schedulePoll();
    });
}

void table_follower::schedulePoll()
{
    const std::uint64_t callNumber = ++m_callNumber;
    const duration delay
        = uncertainTimeLeft() == duration::zero() ? m_options.settledBatchDelay : m_options.batchDelay;
    m_tasks.after(delay, [this, callNumber] {
        if (callNumber == m_callNumber)
            poll();
    });
}

duration table_follower::uncertainTimeLeft() const
{
    return std::max<duration>(m_connectedSince + m_options.uncertainPeriod - m_tasks.now(), duration::zero());
}

bool table_follower::notifyObserver(const feed_row &row, duration uncertainFor, std::uint64_t loggedVersion)
{
    if (!m_observer.onChange(row, uncertainFor))
        return false;
    m_hasUpdates = true;
    m_changeLog.push_back({row.key, loggedVersion});
    if (m_changeLog.size() > m_options.changeLogCapacity) {
        m_changeLogStart = m_changeLog.front().version;
        m_changeLog.pop_front();
    }
    return true;
}

void table_follower::notifyReplacing(const feed_row &before, const std::string &after) const
{
    if (m_onReplacing)
        m_onReplacing(before, after);
}

void table_follower::notifyTableUpdated()
{
    if (std::exchange(m_hasUpdates, false) && m_onTableUpdated)
        m_onTableUpdated();
}

void table_follower::applySnapshot(const versioned_rows &read)
{
    if (m_hasSnapshot && read.version < m_version)
        return;
    recordRestore(read.version);
    const duration uncertainFor = uncertainTimeLeft();
    if (!std::exchange(m_hasSnapshot, true))
        m_changeLogStart = read.version;
    m_version = read.version;
    std::map<std::string, feed_row> previousRows = std::exchange(m_rows, {});
    for (const feed_row &each : read.rows)
        m_rows.emplace(each.key, each);
    for (const auto &[key, row] : previousRows) {
        // A row whose removal tells nothing new is kept for the nodes that ask this one: a restored store may
        // lack the newest configuration.
        if (!m_rows.contains(key)
            && !notifyObserver({key, read.version, {}, true}, uncertainFor, read.version))
            m_rows.emplace(key, row);
    }
    // Versions in the change log must be in ascending order, so a row read from a snapshot is logged with
    // the snapshot's version instead of its own.
    for (const feed_row &each : read.rows) {
        const auto known = previousRows.find(each.key);
        if (known == previousRows.end())
            notifyObserver(each, duration::zero(), read.version);
        else if (known->second.value == each.value && known->second.version == each.version)
            continue;
        else if (notifyObserver(each, duration::zero(), read.version))
            notifyReplacing(known->second, each.value);
        else
            m_rows[each.key].value = known->second.value;
    }
    notifyTableUpdated();
}

void table_follower::recordRestore(std::uint64_t version)
{
    const std::uint64_t before = store_position::fromPacked(m_version).era();
    const std::uint64_t now = store_position::fromPacked(version).era();
    if (!m_hasSnapshot || now == before)
        return;
#ifdef IVYPIER_MUTANT_RESTORE_FOLLOWER
    return;
#endif
    // Rows that were written after the copy was made are missing until they are written again. Changes of the
    // era before are not told to other nodes: they may know rows of it that this node never read.
    m_connectedSince = m_tasks.now();
    m_changeLog.clear();
    m_changeLogStart = version;
    log_event(log_level::warning, "table.restored")
        .with("table", m_table)
        .with("era_before", static_cast<std::int64_t>(before))
        .with("era", static_cast<std::int64_t>(now))
        .write();
}

void table_follower::applyChanges(const versioned_rows &read)
{
    if (read.version < m_version)
        return; // another source has already told newer rows
    const duration uncertainFor = uncertainTimeLeft();
    for (const feed_row &each : read.rows) {
        const auto known = m_rows.find(each.key);
        // Another node may tell a row that is older than what it read last.
        const std::uint64_t firstVersion = std::min(m_version + 1, read.version);
        const std::uint64_t loggedVersion = std::clamp(each.version, firstVersion, read.version);
        if (!notifyObserver(each, uncertainFor, loggedVersion) && known != m_rows.end())
            continue;
        if (known != m_rows.end() && !each.removed)
            notifyReplacing(known->second, each.value);
        if (each.removed)
            m_rows.erase(each.key);
        else
            m_rows[each.key] = each;
    }
    m_version = std::max(m_version, read.version);
    notifyTableUpdated();
}

void table_follower::recordSuccess()
{
    if (!std::exchange(m_connected, true)) {
        m_connectedSince = m_tasks.now();
        log_event(log_level::info, "table.connected")
            .with("table", m_table)
            .with("failures", static_cast<std::int64_t>(m_failures))
            .write();
    }
    m_failures = 0;
    if (m_onResponse)
        m_onResponse();
}

void table_follower::recordFailure(const error &failure)
{
    if (std::exchange(m_connected, false) || m_failures == 0)
        log_event(log_level::warning, "table.lost")
            .with("table", m_table)
            .with("reason", failure.message)
            .write();
    if (m_onTableUpdated)
        m_onTableUpdated();
    ++m_failures;
    if (m_failures >= failures_before_fallback)
        listFromFallback();
    const std::uint32_t doublings = std::min(m_failures - 1, 8U);
    const duration backoff
        = std::min<duration>(m_options.initialBackoff * (1U << doublings), m_options.maxBackoff);
    // Jitter keeps the nodes from reconnecting all at once after an outage.
    const duration jitteredBackoff = fromSeconds(seconds(backoff) * (0.5 + m_random.uniform()));
    const std::uint64_t callNumber = ++m_callNumber;
    m_tasks.after(jitteredBackoff, [this, callNumber] {
        if (callNumber != m_callNumber)
            return;
        if (m_hasSnapshot)
            poll();
        else
            readTable();
    });
}

void table_follower::mergeFromFallback()
{
    if (!m_fallback || std::exchange(m_isListingFallback, true))
        return;
    m_fallback->list(m_table, [this](const outcome<versioned_rows> &read) {
        m_isListingFallback = false;
        if (!read || !m_hasSnapshot)
            return;
        for (const feed_row &each : read.value().rows) {
            const auto known = m_rows.find(each.key);
            const bool isKnown = known != m_rows.end() && known->second.value == each.value;
            if (isKnown || !notifyObserver(each, duration::zero(), m_version))
                continue;
            if (known != m_rows.end())
                notifyReplacing(known->second, each.value);
            m_rows[each.key] = each;
        }
        notifyTableUpdated();
    });
}

void table_follower::listFromFallback()
{
    if (!m_fallback || std::exchange(m_isListingFallback, true))
        return;
    m_fallback->list(m_table, [this](const outcome<versioned_rows> &read) {
        m_isListingFallback = false;
        if (!read || (m_hasSnapshot && read.value().version <= m_version))
            return;
        log_event(log_level::info, "table.from_another_node")
            .with("table", m_table)
            .with("version", static_cast<std::int64_t>(read.value().version))
            .write();
        applySnapshot(read.value());
    });
}

} // namespace ivypier::cloud
