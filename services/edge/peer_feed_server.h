#pragma once

#include "base/scheduler.h"
#include "cloud/table_follower.h"
#include "http/reply.h"
#include "row_transfer.h"

#include <list>
#include <map>

namespace ivypier::edge {

/// Serves the tables that this node follows to other nodes. A request for changes is held until there are
/// changes or its wait has expired.
class peer_feed_server
{
public:
    explicit peer_feed_server(scheduler &tasks);

    /// Registers a table that this node serves.
    void serve(const std::string &table, cloud::table_follower &follower, row_transfer &transfer);

    /// Responds with 200 and rows, 410 when the requested changes are no longer known, 503 while this node
    /// cannot reach the platform, or 404 for a table that is not served or not yet loaded.
    void handleRequest(const http::incoming_request &incoming, const std::shared_ptr<http::reply> &to);

    /// Returns the total size of all response bodies so far.
    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    struct pending_request
    {
        std::uint64_t after = 0;
        time_point deadline{};
        std::string heldDigests;
        std::shared_ptr<http::reply> reply;
    };
    struct served_table
    {
        cloud::table_follower *follower = nullptr;
        row_transfer *transfer = nullptr;
        std::list<pending_request> pendingRequests;
        bool isSweepScheduled = false;
    };

    void handleChangesRequest(served_table &table, const pending_request &pending);
    bool tryRespond(const served_table &table, const pending_request &pending);
    void sendRows(http::reply &to, const std::string &packedRows);
    void respondToPending(served_table &table);
    void scheduleSweep(served_table &table);

    scheduler &m_tasks;
    std::map<std::string, served_table> m_tables;
    std::uint64_t m_bytesSent = 0;
};

} // namespace ivypier::edge
