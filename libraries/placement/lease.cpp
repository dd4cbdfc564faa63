#include "placement/lease.h"

#include "base/json.h"
#include "base/log_event.h"

#include <utility>

namespace ivypier::placement {

namespace {

constexpr int release_attempts = 3;
constexpr std::uint64_t no_version = 0;

std::string encode(const std::string &holder, std::uint64_t counter)
{
    Json::Value json(Json::objectValue);
    json["holder"] = holder;
    json["counter"] = Json::UInt64{counter};
    return writeJson(json);
}

std::string holderIn(const cloud::table_row &row)
{
    const outcome<Json::Value> json = parseJson(row.value);
    return json ? stringMember(json.value(), "holder") : "";
}

bool effectUnknown(const error &failure)
{
    return failure.code != error_code::conflict;
}

} // namespace

lease_keeper::lease_keeper(scheduler &tasks, cloud::table_service &table, std::string name,
                           std::string holder, duration term, std::uint64_t firstWrite)
    : m_tasks(tasks)
    , m_table(table)
    , m_name(std::move(name))
    , m_key("lease/" + m_name)
    , m_holder(std::move(holder))
    , m_term(term)
    , m_writes(firstWrite)
{
}

void lease_keeper::start()
{
    turn();
}

void lease_keeper::setEligible(bool eligible)
{
    m_eligible = eligible;
}

const std::string &lease_keeper::name() const
{
    return m_name;
}

bool lease_keeper::lapsed() const
{
    return !m_lease || m_tasks.now() >= m_lease->expiresAt;
}

std::optional<lease> lease_keeper::held() const
{
#ifdef IVYPIER_MUTANT_LEASE_MARGIN
    return m_lease;
#endif
    if (!m_lease || m_tasks.now() >= m_lease->expiresAt - m_term / lease_margin_divisor)
        return std::nullopt;
    return m_lease;
}

duration lease_keeper::remaining() const
{
    if (!held())
        return duration::zero();
    return m_lease->expiresAt - m_term / lease_margin_divisor - m_tasks.now();
}

void lease_keeper::turn()
{
    if (m_releasing)
        return;
    m_tasks.after(m_term / lease_renewals_per_term, [this] { turn(); });
    if (m_busy && m_tasks.now() - m_busySince < m_term)
        return;
    // The holder knows its row's version and renews without reading.
    if (!lapsed() && !m_pending)
        write(m_lease->fencing, m_lease->tenure);
    else if (m_eligible || m_lease || m_pending)
        readRow();
}

void lease_keeper::readRow()
{
    const time_point startedAt = m_tasks.now();
    const std::uint64_t operation = ++m_operation;
    m_busy = true;
    m_busySince = startedAt;
    m_table.read(m_key, [this, startedAt, operation](const outcome<std::optional<cloud::table_row>> &read) {
        if (operation != m_operation)
            return;
        m_busy = false;
        onRead(read, startedAt);
    });
}

void lease_keeper::onRead(const outcome<std::optional<cloud::table_row>> &read, time_point startedAt)
{
    if (m_releasing) {
        giveUp(release_attempts);
        return;
    }
    if (!read)
        return;
    if (!read.value()) {
        if (m_eligible)
            write(no_version, no_version);
        return;
    }
    observe(*read.value(), startedAt);
}

void lease_keeper::observe(const cloud::table_row &row, time_point startedAt)
{
    const std::optional<pending_write> pending = std::exchange(m_pending, std::nullopt);
    const std::string holder = holderIn(row);
    if (holder == m_holder) {
        const bool continues = m_lease && m_lease->fencing <= row.version && !lapsed();
        const std::uint64_t tenure = continues ? m_lease->tenure : no_version;
        // The write whose answer was lost took effect: the term runs from before that write.
        if (pending && pending->value == row.value)
            take(row.version, tenure, pending->startedAt);
        if (lapsed())
            write(row.version, tenure);
        return;
    }
    m_lease.reset();
    if (holder.empty()) {
        if (m_eligible)
            write(row.version, no_version);
        return;
    }
    if (row.version != m_seenVersion) { // renewed: its term starts anew for this observer
        m_seenVersion = row.version;
        m_seenAt = m_tasks.now();
        return;
    }
    if (m_eligible && startedAt - m_seenAt > m_term)
        write(row.version, no_version);
}

void lease_keeper::write(std::uint64_t expected, std::uint64_t tenure)
{
    // The clock is read before the write: the term is counted from a moment before it took effect.
    m_pending = pending_write{expected, encode(m_holder, ++m_writes), m_tasks.now()};
    const std::uint64_t operation = ++m_operation;
    m_busy = true;
    m_busySince = m_pending->startedAt;
    m_table.write(m_key, expected, m_pending->value,
                  [this, operation, tenure](const outcome<cloud::table_row> &written) {
                      if (operation != m_operation)
                          return;
                      m_busy = false;
                      onWritten(written, tenure);
                  });
}

void lease_keeper::onWritten(const outcome<cloud::table_row> &written, std::uint64_t tenure)
{
    if (m_releasing) {
        giveUp(release_attempts);
        return;
    }
    if (written) {
        const time_point startedAt = m_pending->startedAt;
        m_pending.reset();
        take(written.value().version, tenure, startedAt);
        return;
    }
    if (!effectUnknown(written.error()))
        m_pending.reset();
    // Another holder's row, or a write that may have taken effect: the row says which. A table that can't be
    // reached is asked at the next turn.
    if (written.error().code != error_code::unavailable)
        readRow();
}

void lease_keeper::take(std::uint64_t version, std::uint64_t tenure, time_point startedAt)
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

void lease_keeper::release(std::function<void()> done)
{
    m_releasing = true;
    m_released = std::move(done);
    const bool mayHold = m_lease || m_pending;
    m_lease.reset();
    if (m_busy && m_tasks.now() - m_busySince < m_term)
        return; // the answer under way goes on from here
    if (mayHold)
        giveUp(release_attempts);
    else
        released();
}

void lease_keeper::giveUp(int attempts)
{
    if (attempts == 0) {
        released();
        return;
    }
    m_table.read(m_key, [this, attempts](const outcome<std::optional<cloud::table_row>> &read) {
        if (read && (!read.value() || holderIn(*read.value()) != m_holder)) {
            released();
            return;
        }
        if (!read) {
            giveUp(attempts - 1);
            return;
        }
        m_table.write(m_key, read.value()->version, encode("", ++m_writes),
                      [this, attempts](const outcome<cloud::table_row> &written) {
                          if (written)
                              released();
                          else
                              giveUp(attempts - 1);
                      });
    });
}

void lease_keeper::released()
{
    log_event(log_level::info, "lease.released").with("duty", m_name).with("holder", m_holder).write();
    if (const auto done = std::exchange(m_released, nullptr))
        done();
}

} // namespace ivypier::placement
