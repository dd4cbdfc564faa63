#include "peer_rows.h"

#include "base/status_codes.h"

#include "peer_rows_codec.h"

#include <algorithm>

namespace ivypier::edge {

namespace {

/// On top of the wait that a question asks for.
constexpr duration call_time = std::chrono::milliseconds(600);
/// A reader may be cut off from the platform and not know it yet: it is not waited for long.
constexpr duration longest_wait = std::chrono::seconds(1);

} // namespace

peer_rows::peer_rows(table_readers &readers, http::fetcher &calls, std::uint16_t controlPort)
    : m_readers(readers)
    , m_calls(calls)
    , m_controlPort(controlPort)
{
}

void peer_rows::list(const std::string &table, completion done)
{
    const auto reader = m_readers.pickAnywhere();
    if (!reader) {
        done(error{error_code::unavailable, "no other node is known"});
        return;
    }
    ask(*reader, "table=" + table, call_time, std::move(done));
}

void peer_rows::changes(const std::string &table, std::uint64_t after, duration wait, completion done)
{
    const auto reader = m_readers.pick();
    if (!reader) {
        done(error{error_code::unavailable, "no other node reads for this one"});
        return;
    }
    const duration asked = std::min(wait, longest_wait);
    ask(*reader,
        "table=" + table + "&after=" + std::to_string(after)
            + "&wait_ms=" + std::to_string(milliseconds(asked)),
        asked + call_time, std::move(done));
}

void peer_rows::ask(const membership::member &reader, std::string query, duration timeout, completion done)
{
    m_calls.send({reader.address.host, m_controlPort},
                 {.path = std::string(peer_rows_path), .query = std::move(query)}, timeout,
                 [this, id = reader.id, done = std::move(done)](const outcome<http::response> &answered) {
                     if (answered && answered.value().status == status_ok) {
                         done(decodePeerRows(answered.value().body));
                         return;
                     }
                     if (answered && answered.value().status == status_gone) {
                         done(error{error_code::not_found, "the other node does not know so old changes"});
                         return;
                     }
                     m_readers.failed(id);
                     if (answered)
                         done(error{error_code::unavailable, "the other node does not know the table now"});
                     else
                         done(answered.error());
                 });
}

} // namespace ivypier::edge
