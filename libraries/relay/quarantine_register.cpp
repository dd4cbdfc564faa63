#include "relay/quarantine_register.h"

#include "base/log_event.h"

#include <algorithm>
#include <set>

namespace ivypier::relay {

namespace {

const std::string row_prefix = "quarantine/";

/// A suspicion is not kept: the ends that it comes from are forgotten with the nodes.
bool isKept(const quarantine_entry &entry)
{
    return entry.stage == quarantine_stage::convicted || entry.trials > 0 || entry.byOperator;
}

bool comesFirst(const quarantine_entry &left, const quarantine_entry &right)
{
    const bool leftRefuses = left.stage == quarantine_stage::convicted;
    const bool rightRefuses = right.stage == quarantine_stage::convicted;
    return leftRefuses != rightRefuses ? leftRefuses : left.id() < right.id();
}

} // namespace

quarantine_register::quarantine_register(scheduler &tasks, random_source &randomness,
                                         cloud::table_service &table, const quarantine_list &entries,
                                         entry_receiver receive)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_table(table)
    , m_entries(entries)
    , m_receive(std::move(receive))
{
}

void quarantine_register::start()
{
#ifdef IVYPIER_MUTANT_CRASH_RESTART
    return;
#endif
    m_tasks.after(fromSeconds(seconds(read_spread) * m_random.uniform()), [this] { read(); });
}

void quarantine_register::read()
{
    m_table.list(row_prefix, [this](const outcome<std::vector<cloud::table_row>> &rows) {
        if (!rows) {
            log_event(log_level::info, "quarantine.read_failed").with("reason", rows.error().message).write();
            m_tasks.after(retry_interval, [this] { read(); });
            return;
        }
        for (const cloud::table_row &each : rows.value())
            receiveRow(each.key.substr(row_prefix.size()), each.value);
    });
}

void quarantine_register::receiveRow(const std::string &service, const std::string &text)
{
    service_row &row = m_rows[service];
    row.written = text;
    row.era = m_table.era();
    std::string_view rest = text;
    while (!rest.empty()) {
        const std::size_t lineEnd = std::min(rest.find('\n'), rest.size());
        const outcome<quarantine_entry> entry = quarantine_entry::decode(rest.substr(0, lineEnd));
        rest.remove_prefix(std::min(lineEnd + 1, rest.size()));
        if (entry && entry.value().service == service)
            m_receive(entry.value());
        else
            log_event(log_level::error, "quarantine.unreadable")
                .with("service", service)
                .with("reason", entry ? "the entry of another service" : entry.error().message)
                .write();
    }
}

std::string quarantine_register::rowText(const std::string &service) const
{
    std::vector<quarantine_entry> kept;
    for (const quarantine_list::known_entry &each : m_entries.of(service)) {
        if (isKept(each.entry))
            kept.push_back(each.entry);
    }
    std::sort(kept.begin(), kept.end(), comesFirst);
    kept.resize(std::min(kept.size(), max_row_entries));
    std::string result;
    for (const quarantine_entry &each : kept)
        result.append(each.encode()).append("\n");
    return result;
}

void quarantine_register::poll(bool holdsDuties)
{
    if (!holdsDuties)
        return;
    std::set<std::string> services;
    for (const quarantine_entry &each : m_entries.all())
        services.insert(each.service);
    for (const std::string &service : services) {
        service_row &row = m_rows[service];
        const bool isCurrent = row.written == rowText(service) && row.era == m_table.era();
        if (!isCurrent && !row.isUpdating && m_tasks.now() >= row.nextUpdate)
            update(service);
    }
}

void quarantine_register::update(const std::string &service)
{
    service_row &row = m_rows[service];
    row.isUpdating = true;
    row.nextUpdate = m_tasks.now() + retry_interval;
    m_table.read(row_prefix + service, [this, service](const outcome<std::optional<cloud::table_row>> &read) {
        service_row &current = m_rows[service];
        current.isUpdating = false;
        if (!read) {
            log_event(log_level::info, "quarantine.read_failed")
                .with("service", service)
                .with("reason", read.error().message)
                .write();
            return;
        }
        const std::optional<cloud::table_row> &found = read.value();
        receiveRow(service, found ? found->value : std::string());
        if (current.written != rowText(service))
            write(service, found ? found->version : 0);
    });
}

void quarantine_register::write(const std::string &service, std::uint64_t expected)
{
    const std::string text = rowText(service);
    m_rows[service].isUpdating = true;
    m_table.write(row_prefix + service, expected, text,
                  [this, service, text](const outcome<cloud::table_row> &written) {
                      service_row &row = m_rows[service];
                      row.isUpdating = false;
                      if (written)
                          row.written = text;
                      else
                          log_event(log_level::info, "quarantine.write_failed")
                              .with("service", service)
                              .with("reason", written.error().message)
                              .write();
                  });
}

} // namespace ivypier::relay
