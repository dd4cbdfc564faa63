#pragma once

#include "cloud/table_follower.h"
#include "membership/gossip_membership.h"
#include "peer_feed.h"
#include "peer_feed_server.h"
#include "relay/configuration_rows.h"
#include "relay/upstream_rows.h"
#include "shared_feed.h"
#include "table_readers.h"

namespace ivypier::edge {

/// The platform's tables as this node follows them: the configuration and the upstreams. They are read from
/// the store or from other nodes, told to other nodes, and announcedFact of them is told by gossip.
class platform_tables
{
public:
    platform_tables(scheduler &tasks, random_source &randomness, membership::gossip_membership &members,
                    cloud::change_feed &store, http::fetcher &calls, std::uint16_t controlPort,
                    relay::upstream_directory &upstreams,
                    relay::configuration_rows::update_handler onConfiguration);

    /// Begins to follow, to tell and to listen.
    void start();

    /// Answers another node's question for a table.
    void handleRequest(const http::incoming_request &question, const std::shared_ptr<http::reply> &to);

    /// The version of the configuration in force; 0 before the first.
    std::uint64_t configurationVersion() const
    {
        return m_configurationRows.version();
    }

private:
    void handleFact(const membership::fact &announcedFact);
    void markDraining(const std::string &upstream);
    void refreshUntil(std::uint64_t version, int attempts);

    scheduler &m_tasks;
    membership::gossip_membership &m_members;
    relay::upstream_directory &m_upstreams;
    table_readers m_readers;
    peer_feed m_peerFeed;
    shared_feed m_feed;
    peer_feed_server m_peerServer;
    relay::configuration_rows m_configurationRows;
    relay::upstream_rows m_upstreamRows;
    cloud::table_follower m_configuration;
    cloud::table_follower m_upstreamTable;
};

} // namespace ivypier::edge
