#include "peer_feed.h"

#include "base/log_event.h"
#include "base/status_codes.h"

#include "peer_feed_codec.h"

#include <algorithm>

namespace ivypier::edge {

namespace {

/// Added to the long-poll wait to get the timeout of a request for changes.
constexpr duration request_timeout_margin = std::chrono::milliseconds(600);
/// Timeout until the response to a request for a whole table begins.
constexpr duration list_timeout = std::chrono::milliseconds(1000);
/// Maximum long-poll wait. It is short because a reader may be cut off from the platform without having
/// noticed it yet.
constexpr duration max_wait = std::chrono::seconds(1);
/// Responses of at least this size are logged.
constexpr std::size_t logged_response_bytes = 16384;

bool isWorthLogging(const outcome<http::response> &result)
{
    return !result || result.value().body.size() >= logged_response_bytes;
}

void logRead(const std::string &table, const membership::member &reader, duration took,
             const outcome<http::response> &result)
{
    log_event(result ? log_level::info : log_level::warning, "table.read_from_node")
        .with("table", table)
        .with("reader", reader.name)
        .with("ms", milliseconds(took))
        .with("bytes", result ? static_cast<std::int64_t>(result.value().body.size()) : 0)
        .with("outcome", result ? std::to_string(result.value().status) : result.error().message)
        .write();
}

} // namespace

peer_feed::peer_feed(const clock &time, table_readers &readers, http::fetcher &calls,
                     std::uint16_t controlPort)
    : m_time(time)
    , m_readers(readers)
    , m_calls(calls)
    , m_controlPort(controlPort)
{
}

void peer_feed::addTable(const std::string &table, row_transfer &transfer, bool usesRelays)
{
    m_tables[table] = {&transfer, usesRelays};
}

void peer_feed::list(const std::string &table, completion done)
{
    const auto reader = m_readers.pickFromAnyDomain();
    if (!reader) {
        done(error{error_code::unavailable, "no reader is available in any failure domain"});
        return;
    }
    sendRequest(*reader, table, "", list_timeout, std::move(done));
}

void peer_feed::changes(const std::string &table, std::uint64_t after, duration wait, completion done)
{
    const auto reader = m_tables.at(table).usesRelays ? m_readers.pickRelay() : m_readers.pick();
    if (!reader) {
        done(error{error_code::unavailable, "no reader is available in this failure domain"});
        return;
    }
    const duration waitTime = std::min(wait, max_wait);
    sendRequest(*reader, table,
                "&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(milliseconds(waitTime)),
                waitTime + request_timeout_margin, std::move(done));
}

void peer_feed::sendRequest(const membership::member &reader, const std::string &table,
                            const std::string &parameters, duration timeout, completion done)
{
    row_transfer &transfer = *m_tables.at(table).transfer;
    const std::string held = transfer.heldDigests();
    const std::string query = "table=" + table + parameters + (held.empty() ? "" : "&held=" + held);
    m_calls.sendForLargeResponse(
        {reader.address.host, m_controlPort}, {.path = std::string(peer_feed_path), .query = query}, timeout,
        [this, table, reader, &transfer, startedAt = m_time.now(),
         done = std::move(done)](const outcome<http::response> &result) {
            if (isWorthLogging(result))
                logRead(table, reader, m_time.now() - startedAt, result);
            if (result && result.value().status == status_ok) {
                done(transfer.unpack(result.value().body));
                return;
            }
            if (result && result.value().status == status_gone) {
                done(error{error_code::not_found, "the reader no longer has the requested changes"});
                return;
            }
            m_readers.reportFailure(reader.id);
            if (result)
                done(error{error_code::unavailable, "the reader cannot serve the table"});
            else
                done(result.error());
        });
}

} // namespace ivypier::edge
