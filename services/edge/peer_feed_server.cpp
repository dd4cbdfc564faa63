#include "peer_feed_server.h"

#include "base/status_codes.h"

#include "peer_rows_codec.h"

#include "http/message.h"

#include <algorithm>
#include <charconv>

namespace ivypier::edge {

namespace {

/// A question waits no longer, whatever it asks for.
constexpr duration max_wait = std::chrono::seconds(2);
/// How often pendingRequests are looked through for those that waited long enough.
constexpr duration sweep_interval = std::chrono::milliseconds(200);

std::uint64_t parseUnsigned(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

void sendRows(http::reply &to, const cloud::versioned_rows &rows)
{
    to.send(status_ok, {{"Content-Type", "application/json"}}, encodeFeedRows(rows));
}

} // namespace

peer_feed_server::peer_feed_server(scheduler &tasks)
    : m_tasks(tasks)
{
}

void peer_feed_server::serve(const std::string &table, cloud::table_follower &from)
{
    served_table &entry = m_tables[table];
    entry.follower = &from;
    from.onTableUpdated([this, &entry] { respondToPending(entry); });
}

void peer_feed_server::handleRequest(const http::incoming_request &question,
                                     const std::shared_ptr<http::reply> &to)
{
    const http::request parameters{.query = std::string(question.head.query())};
    const auto found = m_tables.find(parameters.parameter("table"));
    if (found == m_tables.end() || found->second.follower->version() == 0) {
        to->send(status_not_found, {}, {});
        return;
    }
    const std::string after = parameters.parameter("after");
    if (after.empty()) {
        sendRows(*to, found->second.follower->rows());
        return;
    }
    const auto wait = std::chrono::milliseconds(parseUnsigned(parameters.parameter("wait_ms")));
    handleChangesRequest(found->second,
                         {parseUnsigned(after), m_tasks.now() + std::min<duration>(wait, max_wait), to});
}

void peer_feed_server::handleChangesRequest(served_table &table, const pending_request &question)
{
    if (tryRespond(table, question))
        return;
    table.pendingRequests.push_back(question);
    if (!table.isSweepScheduled)
        scheduleSweep(table);
}

bool peer_feed_server::tryRespond(const served_table &table, const pending_request &question) const
{
    if (!table.follower->isConnected()) {
        question.to->send(status_service_unavailable, {}, {});
        return true;
    }
    const auto changes = table.follower->changesSince(question.after);
    if (!changes) {
        question.to->send(status_gone, {}, {});
        return true;
    }
    if (changes->rows.empty() && m_tasks.now() < question.deadline)
        return false;
    sendRows(*question.to, *changes);
    return true;
}

void peer_feed_server::respondToPending(served_table &table)
{
    table.pendingRequests.remove_if([&](const pending_request &each) { return tryRespond(table, each); });
}

void peer_feed_server::scheduleSweep(served_table &table)
{
    table.isSweepScheduled = true;
    m_tasks.after(sweep_interval, [this, &table] {
        respondToPending(table);
        table.isSweepScheduled = false;
        if (!table.pendingRequests.empty())
            scheduleSweep(table);
    });
}

} // namespace ivypier::edge
