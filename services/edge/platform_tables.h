#pragma once

#include "cloud/observer_list.h"
#include "cloud/table_follower.h"
#include "membership/gossip_membership.h"
#include "peer_feed.h"
#include "peer_feed_server.h"
#include "relay/configuration_rows.h"
#include "relay/rollout_rows.h"
#include "relay/upstream_rows.h"
#include "shared_feed.h"
#include "table_readers.h"

namespace ivypier::edge {

/// Follows the platform's configuration, orders of rollouts and upstreams. They are read from the store or
/// from other nodes and served to other nodes; changes are also announced by gossip.
class platform_tables
{
public:
    platform_tables(scheduler &tasks, random_source &randomness, membership::gossip_membership &members,
                    cloud::change_feed &store, http::fetcher &calls, std::uint16_t controlPort,
                    relay::upstream_directory &upstreams,
                    relay::configuration_rows::update_handler onConfiguration,
                    relay::rollout_rows::update_handler onRollouts);

    /// Starts following the tables, serving them to other nodes and handling gossip facts.
    void start();

    /// Handles another node's request for rows of a table.
    void handleRequest(const http::incoming_request &incoming, const std::shared_ptr<http::reply> &to);

    /// Returns the version of the active configuration; 0 before the first is loaded.
    std::uint64_t configurationVersion() const
    {
        return m_configurationRows.version();
    }

    /// Returns the number of bytes of table rows sent to other nodes.
    std::uint64_t bytesSentToNodes() const
    {
        return m_peerServer.bytesSent();
    }

private:
    void handleFact(const membership::fact &update);
    void refreshUntil(std::uint64_t version, int attempts);

    scheduler &m_tasks;
    membership::gossip_membership &m_members;
    relay::upstream_directory &m_upstreams;
    table_readers m_readers;
    peer_feed m_peerFeed;
    shared_feed m_feed;
    peer_feed_server m_peerServer;
    relay::configuration_rows m_configurationRows;
    relay::rollout_rows m_rolloutRows;
    cloud::observer_list m_operatorRows{{&m_configurationRows, &m_rolloutRows}};
    relay::upstream_rows m_upstreamRows;
    cloud::table_follower m_configuration;
    cloud::table_follower m_upstreamTable;
    row_transfer m_configurationTransfer{m_configuration};
    row_transfer m_upstreamTransfer{m_upstreamTable};
};

} // namespace ivypier::edge
