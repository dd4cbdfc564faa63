#pragma once

#include "cloud/change_feed.h"
#include "table_readers.h"

namespace ivypier::edge {

/// The platform's tables, read from the platform by a few nodes and from these by the others. Where the nodes
/// that read do not handleRequest as they should, the platform is asked.
class shared_feed final : public cloud::change_feed
{
public:
    shared_feed(const table_readers &readers, cloud::change_feed &platform, cloud::change_feed &peers);

    void list(const std::string &table, completion done) override;
    void changes(const std::string &table, std::uint64_t after, duration wait, completion done) override;

private:
    const table_readers &m_readers;
    cloud::change_feed &m_platform;
    cloud::change_feed &m_peerFeed;
};

} // namespace ivypier::edge
