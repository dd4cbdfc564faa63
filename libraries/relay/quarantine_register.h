#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "cloud/table_service.h"
#include "relay/quarantine_list.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace ivypier::relay {

/// Keeps the convictions of each service in a row of the platform's table, `quarantine/<service>`, so that
/// they outlive all nodes. No call waits for it. Docs: docs/design/crashing-calls.md.
class quarantine_register
{
public:
    /// Takes over an entry that was read, and tells the other nodes.
    using entry_receiver = std::function<void(const quarantine_entry &)>;

    static constexpr duration retry_interval = std::chrono::milliseconds(800);
    /// Time over which the nodes of a fleet that start together read the rows.
    static constexpr duration read_spread = std::chrono::milliseconds(500);
    /// Entries of one row, those first that refuse calls.
    static constexpr std::size_t max_row_entries = 128;

    quarantine_register(scheduler &tasks, random_source &randomness, cloud::table_service &table,
                        const quarantine_list &entries, entry_receiver receive);

    /// Reads all rows, again until it succeeds.
    void start();

    /// Writes the rows of services whose convictions changed, on the node that holds the duties.
    void poll(bool holdsDuties);

private:
    struct service_row
    {
        std::string written; ///< text of the row as last read or written
        std::uint64_t era = 0; ///< of the table when that was
        bool isUpdating = false;
        time_point nextUpdate{};
    };

    void read();
    void receiveRow(const std::string &service, const std::string &text);
    std::string rowText(const std::string &service) const;
    void update(const std::string &service);
    void write(const std::string &service, std::uint64_t expected);

    scheduler &m_tasks;
    random_source &m_random;
    cloud::table_service &m_table;
    const quarantine_list &m_entries;
    entry_receiver m_receive;
    std::map<std::string, service_row> m_rows;
};

} // namespace ivypier::relay
