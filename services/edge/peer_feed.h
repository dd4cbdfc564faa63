#pragma once

#include "cloud/change_feed.h"
#include "http/fetcher.h"
#include "table_readers.h"

namespace ivypier::edge {

/// Reads the platform's tables from other nodes instead of the platform.
class peer_feed final : public cloud::change_feed
{
public:
    peer_feed(const clock &time, table_readers &readers, http::fetcher &calls, std::uint16_t controlPort);

    /// Returns all rows of a table as known to a reader of any failure domain.
    void list(const std::string &table, completion done) override;

    /// Returns the changes known to a reader of this node's failure domain. Fails with `not_found` when the
    /// reader no longer has all changes since `after`, and with `unavailable` when there is no reader to ask
    /// or the reader itself cannot reach the platform.
    void changes(const std::string &table, std::uint64_t after, duration wait, completion done) override;

private:
    void sendRequest(const membership::member &reader, const std::string &table,
                     const std::string &parameters, duration timeout, completion done);

    const clock &m_time;
    table_readers &m_readers;
    http::fetcher &m_calls;
    std::uint16_t m_controlPort;
};

} // namespace ivypier::edge
