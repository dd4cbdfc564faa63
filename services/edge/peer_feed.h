#pragma once

#include "cloud/change_feed.h"
#include "http/fetcher.h"
#include "table_readers.h"

namespace ivypier::edge {

/// Tables as other nodes know them.
class peer_feed final : public cloud::change_feed
{
public:
    peer_feed(table_readers &readers, http::fetcher &calls, std::uint16_t controlPort);

    /// Every row, as any reader knows them.
    void list(const std::string &table, completion done) override;

    /// The changes that a reader of this domain knows. `not_found` when it no longer knows all of them,
    /// `unavailable` when none is to be asked or the reader does not reach the platform itself.
    void changes(const std::string &table, std::uint64_t after, duration wait, completion done) override;

private:
    void sendRequest(const membership::member &reader, std::string query, duration timeout, completion done);

    table_readers &m_readers;
    http::fetcher &m_calls;
    std::uint16_t m_controlPort;
};

} // namespace ivypier::edge
