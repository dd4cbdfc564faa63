#include "shared_feed.h"

#include <utility>

namespace ivypier::edge {

shared_feed::shared_feed(const table_readers &readers, cloud::change_feed &platform,
                         cloud::change_feed &peers)
    : m_readers(readers)
    , m_platform(platform)
    , m_peerFeed(peers)
{
}

void shared_feed::list(const std::string &table, completion done)
{
    if (m_readers.readsDirectly()) {
        m_platform.list(table, std::move(done));
        return;
    }
    m_peerFeed.list(table, [this, table, done = std::move(done)](outcome<cloud::versioned_rows> read) {
        if (read)
            done(std::move(read));
        else
            m_platform.list(table, done);
    });
}

void shared_feed::changes(const std::string &table, std::uint64_t after, duration wait, completion done)
{
    if (m_readers.readsDirectly()) {
        m_platform.changes(table, after, wait, std::move(done));
        return;
    }
    m_peerFeed.changes(
        table, after, wait,
        [this, table, after, wait, done = std::move(done)](outcome<cloud::versioned_rows> read) {
            if (read || read.error().code == error_code::not_found)
                done(std::move(read));
            else
                m_platform.changes(table, after, wait, done);
        });
}

} // namespace ivypier::edge
