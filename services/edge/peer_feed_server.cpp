#include "peer_feed_server.h"

#include "base/status_codes.h"

#include "peer_feed_codec.h"

#include "http/message.h"

#include <algorithm>
#include <charconv>

namespace ivypier::edge {

namespace {

/// Maximum long-poll wait, whatever a request asks for.
constexpr duration max_wait = std::chrono::seconds(2);
/// Interval between checks for pending requests whose wait has expired.
constexpr duration sweep_interval = std::chrono::milliseconds(200);

std::uint64_t parseUnsigned(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

peer_feed_server::peer_feed_server(scheduler &tasks)
    : m_tasks(tasks)
{
}

void peer_feed_server::serve(const std::string &table, cloud::table_follower &follower,
                             row_transfer &transfer)
{
    served_table &entry = m_tables[table];
    entry.follower = &follower;
    entry.transfer = &transfer;
    follower.onTableUpdated([this, &entry] { respondToPending(entry); });
}

void peer_feed_server::handleRequest(const http::incoming_request &incoming,
                                     const std::shared_ptr<http::reply> &to)
{
    const http::request parameters{.query = std::string(incoming.head.query())};
    const auto found = m_tables.find(parameters.parameter("table"));
    if (found == m_tables.end() || found->second.follower->version() == 0) {
        to->send(status_not_found, {}, {});
        return;
    }
    const std::string after = parameters.parameter("after");
    // FIXME: Nodes of earlier versions send no digests and cannot read packed rows; they should get plain
    // ones.
    const std::string held = parameters.parameter("held");
    if (after.empty()) {
        sendRows(*to, found->second.transfer->pack(found->second.follower->rows(), held));
        return;
    }
    const auto wait = std::chrono::milliseconds(parseUnsigned(parameters.parameter("wait_ms")));
    handleChangesRequest(
        found->second, {parseUnsigned(after), m_tasks.now() + std::min<duration>(wait, max_wait), held, to});
}

void peer_feed_server::handleChangesRequest(served_table &table, const pending_request &pending)
{
    if (tryRespond(table, pending))
        return;
    table.pendingRequests.push_back(pending);
    if (!table.isSweepScheduled)
        scheduleSweep(table);
}

bool peer_feed_server::tryRespond(const served_table &table, const pending_request &pending)
{
    if (!table.follower->isConnected()) {
        pending.reply->send(status_service_unavailable, {}, {});
        return true;
    }
    const auto changes = table.follower->changesSince(pending.after);
    if (!changes) {
        pending.reply->send(status_gone, {}, {});
        return true;
    }
    if (changes->rows.empty() && m_tasks.now() < pending.deadline)
        return false;
    sendRows(*pending.reply, table.transfer->pack(*changes, pending.heldDigests));
    return true;
}

void peer_feed_server::sendRows(http::reply &to, const std::string &packedRows)
{
    m_bytesSent += packedRows.size();
    to.send(status_ok, {{"Content-Type", "application/json"}}, packedRows);
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
