#pragma once

#include "cloud/change_feed.h"
#include "http/fetcher.h"
#include "row_transfer.h"
#include "table_readers.h"

#include <map>

namespace ivypier::edge {

/// Reads the platform's tables from other nodes instead of the platform.
class peer_feed final : public cloud::change_feed
{
public:
    peer_feed(const clock &time, table_readers &readers, http::fetcher &calls, std::uint16_t controlPort);

    /// Registers a table with the transfer that unpacks its rows. Only registered tables can be read. With
    /// `usesRelays` its changes come by way of other nodes than the readers, which suits large rows that
    /// change seldom.
    void addTable(const std::string &table, row_transfer &transfer, bool usesRelays);

    /// Returns all rows of a table as known to a reader of any failure domain.
    void list(const std::string &table, completion done) override;

    /// Returns the changes known to a reader or a relay of this node's failure domain. Fails with `not_found`
    /// when the reader no longer has all changes since `after`, and with `unavailable` when there is no
    /// reader to ask or the reader itself cannot reach the platform.
    void changes(const std::string &table, std::uint64_t after, duration wait, completion done) override;

private:
    struct shared_table
    {
        row_transfer *transfer = nullptr;
        bool usesRelays = false;
    };

    void sendRequest(const membership::member &reader, const std::string &table,
                     const std::string &parameters, duration timeout, completion done);

    const clock &m_time;
    table_readers &m_readers;
    http::fetcher &m_calls;
    std::uint16_t m_controlPort;
    std::map<std::string, shared_table> m_tables;
};

} // namespace ivypier::edge
