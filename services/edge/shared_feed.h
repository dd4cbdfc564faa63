#pragma once

#include "cloud/change_feed.h"
#include "table_readers.h"

namespace ivypier::edge {

/// Reads the platform's tables directly when this node is a designated reader, otherwise from a reader. Falls
/// back to the platform when no reader responds properly. `not_found` from a reader is returned, since the
/// table then has to be listed again.
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
