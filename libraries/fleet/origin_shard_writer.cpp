#include "fleet/origin_shard_writer.h"

#include "base/log_event.h"
#include "fleet/origin_shard.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace ivypier::fleet {

namespace {

/// A row is filled to this size at least before the next one is begun.
constexpr std::size_t min_row_target = std::size_t{4} * 1024;
/// Into this many rows the live records of a shard are divided. Each write sends its row as a whole, so
/// smaller rows send fewer bytes; the other half of the rows is left for records that are still to end.
constexpr std::size_t filled_rows = origin_shards::max_rows / 2;
/// Time for which a row that can't be decoded is kept: no stream can be resumed for longer.
constexpr std::int64_t unreadable_row_milliseconds = 660'000;

} // namespace

origin_shard_writer::origin_shard_writer(scheduler &tasks, cloud::table_service &table, std::size_t shard,
                                         std::size_t firstRow, std::function<std::int64_t()> wallMilliseconds,
                                         origin_counters &counters)
    : m_tasks(tasks)
    , m_table(table)
    , m_shard(shard)
    , m_firstRow(firstRow % origin_shards::max_rows)
    , m_wallMilliseconds(std::move(wallMilliseconds))
    , m_counters(counters)
{
}

std::int64_t origin_shard_writer::now() const
{
    return m_wallMilliseconds();
}

void origin_shard_writer::add(const stored_origin &record, std::function<void()> onStored)
{
    const bool isPending = m_awaited.contains(record.stream);
    if (onStored)
        m_awaited[record.stream] = {record.endsAt, std::move(onStored)};
    if (isPending)
        return;
    m_pending.emplace(record.endsAt, record);
    boundPending();
    const duration sinceWrite = m_tasks.now() - m_lastWriteAt;
    schedule(m_hasWritten ? std::max<duration>(write_interval - sinceWrite, {}) : duration{});
}

void origin_shard_writer::boundPending()
{
    while (m_pending.size() > max_pending) {
        m_awaited.erase(m_pending.begin()->second.stream);
        m_pending.erase(m_pending.begin());
        ++m_counters.dropped;
    }
}

bool origin_shard_writer::isRestored() const
{
#ifdef IVYPIER_MUTANT_ORIGIN_RESTORE
    return false;
#endif
    return m_hasEra && m_table.era() != m_era;
}

void origin_shard_writer::poll()
{
    if (!isRestored() || m_isBusy)
        return;
    recoverOwnRecords();
    if (!m_pending.empty())
        schedule({});
}

void origin_shard_writer::schedule(duration delay)
{
    if (m_isBusy || m_isScheduled)
        return;
    m_isScheduled = true;
    m_tasks.after(delay, [this] {
        m_isScheduled = false;
        flush();
    });
}

void origin_shard_writer::flush()
{
    if (m_isBusy)
        return;
    if (isRestored())
        recoverOwnRecords();
    dropEnded();
    if (m_pending.empty())
        return;
    if (m_isListed)
        write();
    else
        listRows();
}

void origin_shard_writer::dropEnded()
{
    m_pending.erase(m_pending.begin(), m_pending.lower_bound(now()));
    std::erase_if(m_awaited, [this](const auto &each) { return each.second.endsAt < now(); });
}

/// Makes the records of this writer's rows pending again after a restore, and forgets the rows.
void origin_shard_writer::recoverOwnRecords()
{
    std::size_t records = 0;
    for (const auto &[number, row] : m_rows) {
        const outcome<origin_row> own = origin_row::decode(row.ownText);
        if (row.ownText.empty() || !own)
            continue;
        for (const stored_origin &each : own.value().records)
            m_pending.emplace(each.endsAt, each);
        records += own.value().records.size();
    }
    dropEnded();
    boundPending();
    m_rows.clear();
    m_current.reset();
    m_isListed = false;
    m_era = m_table.era();
    log_event(log_level::info, "stream.origins_restored")
        .with("shard", static_cast<std::int64_t>(m_shard))
        .with("records", static_cast<std::int64_t>(records))
        .with("era", static_cast<std::int64_t>(m_table.era()))
        .write();
}

void origin_shard_writer::listRows()
{
    m_isBusy = true;
    requestRows(++m_access);
}

void origin_shard_writer::requestRows(std::uint64_t access)
{
    m_table.listUpTo(origin_shards::rowPrefix(m_shard), origin_shards::max_rows,
                     [this, access](const outcome<std::vector<cloud::table_row>> &rows) {
                         if (access != m_access)
                             return;
                         ++m_access;
                         m_isBusy = false;
                         if (!rows) {
                             recordFailure(rows.error().message);
                             schedule(retry_interval);
                             return;
                         }
                         applyList(rows.value());
                         flush();
                     });
    m_tasks.after(slow_response_time, [this, access] {
        if (access == m_access)
            requestRows(access);
    });
}

void origin_shard_writer::applyList(const std::vector<cloud::table_row> &rows)
{
    const std::string prefix = origin_shards::rowPrefix(m_shard);
    const std::map<std::size_t, known_row> before = std::exchange(m_rows, {});
    for (const cloud::table_row &each : rows) {
        std::size_t number = origin_shards::max_rows;
        const std::string digits = each.key.substr(std::min(prefix.size(), each.key.size()));
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (!each.key.starts_with(prefix) || number >= origin_shards::max_rows)
            continue;
        const outcome<origin_row> decoded = origin_row::decode(each.value);
        const bool isCurrent = decoded || each.value.empty();
        const std::int64_t endsAt = decoded ? decoded.value().endsAt()
            : isCurrent                     ? 0
                                            : now() + unreadable_row_milliseconds;
        known_row &row = m_rows[number];
        row = {each.version, endsAt, each.value.size(), {}};
        const auto own = before.find(number);
        if (own != before.end() && own->second.ownText == each.value)
            row.ownText = each.value;
    }
    m_era = m_table.era();
    m_hasEra = true;
    m_isListed = true;
}

bool origin_shard_writer::isFree(std::size_t number) const
{
    const auto found = m_rows.find(number);
    return found == m_rows.end() || now() > found->second.endsAt + milliseconds(reuse_margin);
}

std::size_t origin_shard_writer::rowTarget() const
{
    std::size_t live = 0;
    for (const auto &[number, row] : m_rows)
        live += isFree(number) ? 0 : row.bytes;
    return std::clamp(live / filled_rows, min_row_target, origin_row::max_bytes);
}

std::optional<std::size_t> origin_shard_writer::chooseRow()
{
    const auto current = m_current ? m_rows.find(*m_current) : m_rows.end();
    if (current != m_rows.end() && current->second.bytes < rowTarget())
        return *m_current;
    for (std::size_t offset = 0; offset < origin_shards::max_rows; ++offset) {
        const std::size_t number = (m_firstRow + offset) % origin_shards::max_rows;
        if (isFree(number))
            return number;
    }
    m_current.reset();
    return rowToReplace();
}

/// Returns the row whose records end first, when all rows hold records that have not ended. A deviation never
/// gives way: without it, its stream would be taken for one that began at the selected version.
std::optional<std::size_t> origin_shard_writer::rowToReplace() const
{
    if (origin_shards::isOfDeviations(m_shard))
        return std::nullopt;
    return std::min_element(
               m_rows.begin(), m_rows.end(),
               [](const auto &left, const auto &right) { return left.second.endsAt < right.second.endsAt; })
        ->first;
}

/// Moves pending records into the write in progress, and returns the text of the row with them.
std::string origin_shard_writer::takeBatch(std::size_t number)
{
    origin_row row;
    row.era = m_table.era();
    std::size_t bytes = origin_row::emptySize();
    std::set<relay::stream_origin> stated;
    const auto takes = [&](const stored_origin &each) {
        const std::size_t added = origin_row::recordSize()
            + (stated.contains(each.origin) ? 0 : origin_row::originSize(each.origin));
        if (bytes + added > origin_row::max_bytes)
            return false;
        bytes += added;
        stated.insert(each.origin);
        row.records.push_back(each);
        return true;
    };
    const auto current = m_rows.find(number);
    if (m_current == number && current != m_rows.end()) {
        const outcome<origin_row> content = origin_row::decode(current->second.ownText);
        for (const stored_origin &each : content ? content.value().records : std::vector<stored_origin>()) {
            if (each.endsAt >= now())
                takes(each);
        }
    }
    while (!m_pending.empty() && takes(m_pending.begin()->second)) {
        m_inFlight.push_back(m_pending.begin()->second);
        m_pending.erase(m_pending.begin());
    }
    return row.encode();
}

void origin_shard_writer::write()
{
    std::optional<std::size_t> chosen = chooseRow();
    std::string text = chosen ? takeBatch(*chosen) : std::string();
    if (chosen && m_inFlight.empty()) { // nothing more fits into the row that was being filled
        m_rows[*chosen].bytes = origin_row::max_bytes;
        chosen = chooseRow();
        text = chosen ? takeBatch(*chosen) : std::string();
    }
    if (!chosen) {
        recordFailure("all rows hold deviations");
        schedule(retry_interval);
        return;
    }
    const std::size_t number = *chosen;
    if (m_inFlight.empty()) {
        // A record larger than a row can't be written.
        m_awaited.erase(m_pending.begin()->second.stream);
        m_pending.erase(m_pending.begin());
        ++m_counters.dropped;
        schedule({});
        return;
    }
    const auto known = m_rows.find(number);
    m_writtenRow = number;
    m_writtenText = text;
    m_isBusy = true;
    m_hasWritten = true;
    m_lastWriteAt = m_tasks.now();
    m_writeStartedAt = m_tasks.now();
    m_table.write(origin_shards::rowKey(m_shard, number), known == m_rows.end() ? 0 : known->second.version,
                  text, [this, access = ++m_access](const outcome<cloud::table_row> &written) {
                      if (access == m_access)
                          applyWrite(written);
                  });
    m_tasks.after(slow_response_time, [this, access = m_access] { checkWrite(access); });
}

/// Reads the row of a write without a response. While it lacks what was written, the response is still
/// awaited, so that one write at a time is in progress.
void origin_shard_writer::checkWrite(std::uint64_t access)
{
    if (access != m_access)
        return;
    m_table.read(origin_shards::rowKey(m_shard, m_writtenRow),
                 [this, access](const outcome<std::optional<cloud::table_row>> &read) {
                     if (access != m_access)
                         return;
                     if (read && read.value() && read.value()->value == m_writtenText)
                         recordSuccess(read.value()->version);
                 });
    m_tasks.after(slow_response_time, [this, access] { checkWrite(access); });
}

void origin_shard_writer::applyWrite(const outcome<cloud::table_row> &written)
{
    if (written) {
        recordSuccess(written.value().version);
        return;
    }
    ++m_access;
    recordFailure(written.error().message);
    switch (written.error().code) {
    case error_code::conflict: // another writer has the row
        m_isBusy = false;
        returnInFlight();
        m_current.reset();
        m_isListed = false;
        schedule(write_interval);
        break;
    case error_code::unavailable: // not processed
        m_isBusy = false;
        returnInFlight();
        schedule(retry_interval);
        break;
    default: // the write may have taken effect
        readBack();
        break;
    }
}

void origin_shard_writer::readBack()
{
    m_table.read(origin_shards::rowKey(m_shard, m_writtenRow),
                 [this](const outcome<std::optional<cloud::table_row>> &read) {
                     if (!read) {
                         recordFailure(read.error().message);
                         m_tasks.after(retry_interval, [this] { readBack(); });
                         return;
                     }
                     if (read.value() && read.value()->value == m_writtenText) {
                         recordSuccess(read.value()->version);
                         return;
                     }
                     m_isBusy = false;
                     returnInFlight();
                     m_current.reset();
                     m_isListed = false;
                     schedule(retry_interval);
                 });
}

void origin_shard_writer::returnInFlight()
{
    for (stored_origin &each : std::exchange(m_inFlight, {}))
        m_pending.emplace(each.endsAt, std::move(each));
    boundPending();
}

void origin_shard_writer::recordSuccess(std::uint64_t version)
{
    ++m_access;
    const outcome<origin_row> written = origin_row::decode(m_writtenText);
    m_rows[m_writtenRow]
        = {version, written ? written.value().endsAt() : 0, m_writtenText.size(), m_writtenText};
    m_current = m_writtenRow;
    ++m_counters.writes;
    m_counters.written += m_inFlight.size();
    m_counters.bytesWritten += m_writtenText.size();
    log_event(log_level::info, "stream.origins_stored")
        .with("shard", static_cast<std::int64_t>(m_shard))
        .with("row", static_cast<std::int64_t>(m_writtenRow))
        .with("records", static_cast<std::int64_t>(m_inFlight.size()))
        .with("bytes", static_cast<std::int64_t>(m_writtenText.size()))
        .with("pending", static_cast<std::int64_t>(m_pending.size()))
        .with("era", static_cast<std::int64_t>(m_table.era()))
        .with("took_ms", milliseconds(m_tasks.now() - m_writeStartedAt))
        .write();
    m_isBusy = false;
    notifyStored();
    if (!m_pending.empty())
        schedule(std::max<duration>(write_interval - (m_tasks.now() - m_lastWriteAt), {}));
}

void origin_shard_writer::notifyStored()
{
    std::vector<std::function<void()>> handlers;
    for (const stored_origin &each : std::exchange(m_inFlight, {})) {
        if (auto awaited = m_awaited.extract(each.stream); !awaited.empty())
            handlers.push_back(std::move(awaited.mapped().onStored));
    }
    for (const auto &each : handlers)
        each();
}

void origin_shard_writer::recordFailure(std::string_view reason)
{
    ++m_counters.failures;
    log_event(log_level::info, "stream.origins_not_stored")
        .with("shard", static_cast<std::int64_t>(m_shard))
        .with("pending", static_cast<std::int64_t>(pendingCount()))
        .with("reason", reason)
        .write();
}

} // namespace ivypier::fleet
