#include "placement/lease.h"

#include "base/json.h"

namespace ivypier::placement {

namespace {

/// Part of a term after which it is renewed, and the margin before its end in which no order is sent.
constexpr int renewals_per_term = 3;
constexpr int margin_divisor = 5;

std::string encode(const std::string &holder, std::uint64_t counter)
{
    Json::Value json(Json::objectValue);
    json["holder"] = holder;
    json["counter"] = Json::UInt64{counter};
    return writeJson(json);
}

} // namespace

lease_keeper::lease_keeper(scheduler &tasks, platform::table_service &table, std::string duty,
                           std::string holder, duration term)
    : m_tasks(tasks)
    , m_table(table)
    , m_duty(std::move(duty))
    , m_holder(std::move(holder))
    , m_term(term)
{
}

void lease_keeper::start()
{
    turn();
}

void lease_keeper::release()
{
    m_releasing = true;
    if (!m_lease)
        return;
    m_table.write("lease/" + m_duty, m_lease->fencing, encode("", 0),
                  [](const outcome<platform::table_row> &) {});
    m_lease.reset();
}

std::optional<lease> lease_keeper::held() const
{
#ifdef IVYPIER_MUTANT_LEASE_MARGIN
    return m_lease;
#endif
    if (!m_lease || m_tasks.now() >= m_lease->expiresAt - m_term / margin_divisor)
        return std::nullopt;
    return m_lease;
}

void lease_keeper::turn()
{
    if (m_releasing)
        return;
    readRow();
    m_tasks.after(m_term / renewals_per_term, [this] { turn(); });
}

void lease_keeper::readRow()
{
    // The clock is read before the row: the term is counted from a moment before the write took effect.
    const time_point startedAt = m_tasks.now();
    m_table.read("lease/" + m_duty,
                 [this, startedAt](const outcome<std::optional<platform::table_row>> &read) {
                     if (!read || m_releasing)
                         return;
                     if (!read.value()) {
                         write(0, 1, startedAt);
                         return;
                     }
                     const platform::table_row &row = *read.value();
                     const outcome<Json::Value> json = parseJson(row.value);
                     const std::string holder = json ? stringMember(json.value(), "holder") : "";
                     const std::uint64_t counter = json ? unsignedMember(json.value(), "counter", 0) : 0;
                     if (holder == m_holder || holder.empty()) {
                         write(row.version, counter + 1, startedAt);
                         return;
                     }
                     m_lease.reset();
                     if (row.value != m_seenValue) { // it was renewed: its term starts anew for this observer
                         m_seenValue = row.value;
                         m_seenAt = startedAt;
                         return;
                     }
                     if (startedAt - m_seenAt > m_term)
                         write(row.version, 1, startedAt);
                 });
}

void lease_keeper::write(std::uint64_t expected, std::uint64_t counter, time_point startedAt)
{
    m_table.write("lease/" + m_duty, expected, encode(m_holder, counter),
                  [this, startedAt](const outcome<platform::table_row> &written) {
                      if (written && !m_releasing)
                          m_lease = lease{written.value().version, startedAt + m_term};
                  });
}

} // namespace ivypier::placement
