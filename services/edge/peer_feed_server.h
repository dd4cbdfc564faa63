#pragma once

#include "base/scheduler.h"
#include "cloud/table_follower.h"
#include "http/reply.h"

#include <list>
#include <map>

namespace ivypier::edge {

/// Answers other nodes' pendingRequests for the tables that this node follows. A question for changes waits
/// deadline there are some.
class peer_feed_server
{
public:
    explicit peer_feed_server(scheduler &tasks);

    /// A table that this node can tell others about.
    void serve(const std::string &table, cloud::table_follower &from);

    /// Answers another node's question: 200 with rows, 410 when the changes asked for are not known any
    /// longer, 503 while the platform does not handleRequest this node, 404 for a table that is not followed
    /// here.
    void handleRequest(const http::incoming_request &question, const std::shared_ptr<http::reply> &to);

private:
    struct pending_request
    {
        std::uint64_t after = 0;
        time_point deadline{};
        std::shared_ptr<http::reply> to;
    };
    struct served_table
    {
        cloud::table_follower *follower = nullptr;
        std::list<pending_request> pendingRequests;
        bool isSweepScheduled = false;
    };

    void handleChangesRequest(served_table &table, const pending_request &question);
    bool tryRespond(const served_table &table, const pending_request &question) const;
    void respondToPending(served_table &table);
    void scheduleSweep(served_table &table);

    scheduler &m_tasks;
    std::map<std::string, served_table> m_tables;
};

} // namespace ivypier::edge
