#pragma once

#include "base/scheduler.h"
#include "cloud/table_follower.h"
#include "http/reply.h"

#include <list>
#include <map>

namespace ivypier::edge {

/// Answers other nodes' questions for the tables that this node follows. A question for changes waits until
/// there are some.
class peer_rows_server
{
public:
    explicit peer_rows_server(scheduler &tasks);

    /// A table that this node can tell others about.
    void serve(const std::string &table, cloud::table_follower &from);

    /// Answers another node's question: 200 with rows, 410 when the changes asked for are not known any
    /// longer, 503 while the platform does not answer this node, 404 for a table that is not followed here.
    void answer(const http::incoming_request &question, const std::shared_ptr<http::reply> &to);

private:
    struct waiting
    {
        std::uint64_t after = 0;
        time_point until{};
        std::shared_ptr<http::reply> to;
    };
    struct served
    {
        cloud::table_follower *follower = nullptr;
        std::list<waiting> questions;
        bool isWatched = false;
    };

    void answerChanges(served &table, const waiting &question);
    bool answerIfKnown(const served &table, const waiting &question) const;
    void answerWaiting(served &table);
    void watch(served &table);

    scheduler &m_tasks;
    std::map<std::string, served> m_tables;
};

} // namespace ivypier::edge
