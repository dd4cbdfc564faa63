#include "placement/lease.h"

#include "base/json.h"
#include "base/log_event.h"

#include <utility>

namespace ivypier::placement {

namespace {

constexpr int max_release_attempts = 3;
constexpr std::uint64_t no_version = 0; // as an expected version: the row must not exist

std::string encode(const std::string &holder, std::uint64_t counter, std::uint64_t era)
{
    Json::Value json(Json::objectValue);
    json["holder"] = holder;
    json["counter"] = Json::UInt64{counter};
    json["era"] = Json::UInt64{era};
    return writeJson(json);
}

std::string parseHolder(const cloud::table_row &row)
{
    const outcome<Json::Value> json = parseJson(row.value);
    return json ? stringMember(json.value(), "holder") : "";
}

/// Returns the era in which a row was written. Rows of older versions of this program state none.
std::uint64_t parseEra(const cloud::table_row &row)
{
    const outcome<Json::Value> json = parseJson(row.value);
    return json ? unsignedMember(json.value(), "era", 0) : 0;
}

bool mayHaveApplied(const error &failure)
{
    return failure.code != error_code::conflict;
}

} // namespace

lease_manager::lease_manager(scheduler &tasks, cloud::table_service &table, std::string name,
                             std::string holder, duration term, std::uint64_t initialWriteCount)
    : m_tasks(tasks)
    , m_table(table)
    , m_name(std::move(name))
    , m_key("lease/" + m_name)
    , m_holder(std::move(holder))
    , m_term(term)
    , m_writeCount(initialWriteCount)
{
}

void lease_manager::start()
{
    poll();
}

void lease_manager::setEligible(bool eligible)
{
    m_eligible = eligible;
}

const std::string &lease_manager::name() const
{
    return m_name;
}

bool lease_manager::isExpired() const
{
    return !m_lease || m_tasks.now() >= m_lease->expiresAt;
}

std::optional<lease> lease_manager::held() const
{
#ifdef IVYPIER_MUTANT_LEASE_MARGIN
    return m_lease;
#endif
    if (!m_lease || m_tasks.now() >= m_lease->expiresAt - m_term / lease_margin_divisor)
        return std::nullopt;
    return m_lease;
}

duration lease_manager::remaining() const
{
    if (!held())
        return duration::zero();
    return m_lease->expiresAt - m_term / lease_margin_divisor - m_tasks.now();
}

void lease_manager::poll()
{
    if (m_releasing)
        return;
    m_tasks.after(m_term / lease_renewals_per_term, [this] { poll(); });
    if (m_callInFlight && m_tasks.now() - m_callStartedAt < m_term)
        return;
    // The holder knows its row's version and renews without reading.
    if (!isExpired() && !m_pendingWrite)
        write(m_lease->fencingToken, m_lease->tenure);
    else if (m_eligible || m_lease || m_pendingWrite)
        readRow();
}

void lease_manager::readRow()
{
    const time_point startedAt = m_tasks.now();
    const std::uint64_t callNumber = ++m_callNumber;
    m_callInFlight = true;
    m_callStartedAt = startedAt;
    m_table.read(m_key, [this, startedAt, callNumber](const outcome<std::optional<cloud::table_row>> &read) {
        if (callNumber != m_callNumber)
            return;
        m_callInFlight = false;
        onRead(read, startedAt);
    });
}

void lease_manager::onRead(const outcome<std::optional<cloud::table_row>> &read, time_point startedAt)
{
    if (m_releasing) {
        tryRelease(max_release_attempts);
        return;
    }
    if (!read)
        return;
    recordEra();
    if (read.value())
        observe(*read.value(), startedAt);
    else if (!isExpired())
        write(no_version, m_lease->tenure); // a restore removed the row of the present holder
    else if (m_eligible && mayAcquireMissingRow())
        write(no_version, no_version);
}

void lease_manager::recordEra()
{
    if (m_era == m_table.era())
        return;
    m_era = m_table.era();
    m_eraSeenAt = m_tasks.now();
}

bool lease_manager::isCurrent(const cloud::table_row &row) const
{
#ifdef IVYPIER_MUTANT_RESTORE_WAIT
    return true;
#endif
    return parseEra(row) == m_era;
}

bool lease_manager::mayAcquireMissingRow() const
{
#ifdef IVYPIER_MUTANT_RESTORE_WAIT
    return true;
#endif
    // In a table that was never restored, a row that is missing never existed.
    return m_era == 0 || m_tasks.now() - m_eraSeenAt > m_term;
}

void lease_manager::observe(const cloud::table_row &row, time_point startedAt)
{
    const std::optional<pending_write> pending = std::exchange(m_pendingWrite, std::nullopt);
    if (!isCurrent(row) && !isExpired()) {
        // A restore brought back an older row. This process holds the lease, whomever the row names.
        write(row.version, m_lease->tenure);
        return;
    }
    if (!isCurrent(row) || parseHolder(row) != m_holder) {
        observeForeignRow(row, startedAt);
        return;
    }
    const bool isRenewal = m_lease && m_lease->fencingToken <= row.version && !isExpired();
    const std::uint64_t tenure = isRenewal ? m_lease->tenure : no_version;
    // The write whose response was lost was applied: the term runs from before that write.
    if (pending && pending->value == row.value)
        setLease(row.version, tenure, pending->startedAt);
    if (isExpired())
        write(row.version, tenure);
}

void lease_manager::observeForeignRow(const cloud::table_row &row, time_point startedAt)
{
    m_lease.reset();
    if (isCurrent(row) && parseHolder(row).empty()) {
        if (m_eligible)
            write(row.version, no_version);
        return;
    }
    if (row.version != m_observedVersion) { // renewed since: the observed term restarts
        m_observedVersion = row.version;
        m_observedAt = m_tasks.now();
        return;
    }
    if (m_eligible && startedAt - m_observedAt > m_term)
        write(row.version, no_version);
}

void lease_manager::write(std::uint64_t expectedVersion, std::uint64_t tenure)
{
    // The clock is read before the write, so that the term is counted from before the write is applied.
    m_pendingWrite = pending_write{expectedVersion, encode(m_holder, ++m_writeCount, m_era), m_tasks.now()};
    const std::uint64_t callNumber = ++m_callNumber;
    m_callInFlight = true;
    m_callStartedAt = m_pendingWrite->startedAt;
    m_table.write(m_key, expectedVersion, m_pendingWrite->value,
                  [this, callNumber, tenure](const outcome<cloud::table_row> &written) {
                      if (callNumber != m_callNumber)
                          return;
                      m_callInFlight = false;
                      onWritten(written, tenure);
                  });
}

void lease_manager::onWritten(const outcome<cloud::table_row> &written, std::uint64_t tenure)
{
    if (m_releasing) {
        tryRelease(max_release_attempts);
        return;
    }
    if (written) {
        const time_point startedAt = m_pendingWrite->startedAt;
        m_pendingWrite.reset();
        setLease(written.value().version, tenure, startedAt);
        return;
    }
    if (!mayHaveApplied(written.error()))
        m_pendingWrite.reset();
    // Either another process wrote the row or the write may have been applied: reading the row tells which.
    // If the table is unavailable, the next poll reads it.
    if (written.error().code != error_code::unavailable)
        readRow();
}

void lease_manager::setLease(std::uint64_t version, std::uint64_t tenure, time_point startedAt)
{
    const bool acquired = tenure == no_version;
    m_lease = lease{version, acquired ? version : tenure, startedAt + m_term};
    if (!acquired)
        return;
    log_event(log_level::info, "lease.acquired")
        .with("duty", m_name)
        .with("holder", m_holder)
        .with("fencing", static_cast<std::int64_t>(version))
        .write();
}

void lease_manager::release(std::function<void()> done)
{
    m_releasing = true;
    m_onReleased = std::move(done);
    const bool mayHold = m_lease || m_pendingWrite;
    m_lease.reset();
    if (m_callInFlight && m_tasks.now() - m_callStartedAt < m_term)
        return; // the response to the call in flight continues the release
    if (mayHold)
        tryRelease(max_release_attempts);
    else
        finishRelease();
}

void lease_manager::tryRelease(int attempts)
{
    if (attempts == 0) {
        finishRelease();
        return;
    }
    m_table.read(m_key, [this, attempts](const outcome<std::optional<cloud::table_row>> &read) {
        if (read && (!read.value() || parseHolder(*read.value()) != m_holder)) {
            finishRelease();
            return;
        }
        if (!read) {
            tryRelease(attempts - 1);
            return;
        }
        m_table.write(m_key, read.value()->version, encode("", ++m_writeCount, m_table.era()),
                      [this, attempts](const outcome<cloud::table_row> &written) {
                          if (written)
                              finishRelease();
                          else
                              tryRelease(attempts - 1);
                      });
    });
}

void lease_manager::finishRelease()
{
    log_event(log_level::info, "lease.released").with("duty", m_name).with("holder", m_holder).write();
    if (const auto done = std::exchange(m_onReleased, nullptr))
        done();
}

} // namespace ivypier::placement
