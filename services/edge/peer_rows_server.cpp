#include "peer_rows_server.h"

#include "base/status_codes.h"

#include "peer_rows_codec.h"

#include "http/message.h"

#include <algorithm>
#include <charconv>

namespace ivypier::edge {

namespace {

/// A question waits no longer, whatever it asks for.
constexpr duration longest_wait = std::chrono::seconds(2);
/// How often questions are looked through for those that waited long enough.
constexpr duration watch_interval = std::chrono::milliseconds(200);

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

void sendRows(http::reply &to, const cloud::versioned_rows &rows)
{
    to.send(status_ok, {{"Content-Type", "application/json"}}, encodePeerRows(rows));
}

} // namespace

peer_rows_server::peer_rows_server(scheduler &tasks)
    : m_tasks(tasks)
{
}

void peer_rows_server::serve(const std::string &table, cloud::table_follower &from)
{
    served &entry = m_tables[table];
    entry.follower = &from;
    from.onTableUpdated([this, &entry] { answerWaiting(entry); });
}

void peer_rows_server::answer(const http::incoming_request &question, const std::shared_ptr<http::reply> &to)
{
    const http::request asked{.query = std::string(question.head.query())};
    const auto found = m_tables.find(asked.parameter("table"));
    if (found == m_tables.end() || found->second.follower->version() == 0) {
        to->send(status_not_found, {}, {});
        return;
    }
    const std::string after = asked.parameter("after");
    if (after.empty()) {
        sendRows(*to, found->second.follower->rows());
        return;
    }
    const auto wait = std::chrono::milliseconds(numberOf(asked.parameter("wait_ms")));
    answerChanges(found->second,
                  {numberOf(after), m_tasks.now() + std::min<duration>(wait, longest_wait), to});
}

void peer_rows_server::answerChanges(served &table, const waiting &question)
{
    if (answerIfKnown(table, question))
        return;
    table.questions.push_back(question);
    if (!table.isWatched)
        watch(table);
}

bool peer_rows_server::answerIfKnown(const served &table, const waiting &question) const
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
    if (changes->rows.empty() && m_tasks.now() < question.until)
        return false;
    sendRows(*question.to, *changes);
    return true;
}

void peer_rows_server::answerWaiting(served &table)
{
    table.questions.remove_if([&](const waiting &each) { return answerIfKnown(table, each); });
}

void peer_rows_server::watch(served &table)
{
    table.isWatched = true;
    m_tasks.after(watch_interval, [this, &table] {
        answerWaiting(table);
        table.isWatched = false;
        if (!table.questions.empty())
            watch(table);
    });
}

} // namespace ivypier::edge
