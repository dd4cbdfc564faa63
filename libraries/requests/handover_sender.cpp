#include "requests/handover_sender.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/status_codes.h"
#include "entry/entry_directory.h"

#include <algorithm>

namespace ivypier::requests {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds(50);

/// Before the end, what could still finish here is handed over too.
constexpr duration last_call = std::chrono::milliseconds(800);

/// Before the end, what no successor took is answered.
constexpr duration closing_margin = std::chrono::milliseconds(300);

constexpr duration short_retry_after = std::chrono::seconds(1);

std::string conversationOf(const request_record &record)
{
    return entry::conversationKey(record.request.account, record.request.conversation);
}

} // namespace

handover_sender::handover_sender(handover_sender_parts parts)
    : m_parts(parts)
{
}

void handover_sender::start(successor_choice successors, time_point end)
{
    m_successors = std::move(successors);
    m_end = end;
    if (std::exchange(m_active, true))
        return;
    sweep();
}

bool handover_sender::keeps(const request_record &record) const
{
    return m_active && canMove(record) && !m_successors(record.request).empty();
}

void handover_sender::sweep()
{
    offerAll();
    const duration left = m_end - m_parts.tasks.now();
    for (const record_pointer &record : m_parts.table.open()) {
        if (left <= closing_margin || (isLastCall() && !canMove(*record)))
            close(record);
    }
    if (left > closing_margin && m_parts.table.openCount() > 0)
        m_parts.tasks.after(sweep_interval, [this] { sweep(); });
}

void handover_sender::offerAll()
{
    for (const record_pointer &record : m_parts.table.open()) {
        if (record->handover == handover_phase::none && isItsTurn(*record) && canMove(*record))
            offer(record);
    }
}

bool handover_sender::isLastCall() const
{
    return m_end - m_parts.tasks.now() <= last_call;
}

bool handover_sender::isItsTurn(const request_record &record) const
{
    return record.request.conversation.empty()
        || m_parts.conversations.isFirst(conversationOf(record), record.key);
}

bool handover_sender::canMove(const request_record &record) const
{
    const bool untouched = record.attempt.number == 0;
    if (record.request.repeatable) {
        const bool isStream = record.request.service.kind == configuration::service_kind::model;
        return untouched || isStream || isLastCall() || record.attempt.id.empty();
    }
    if (untouched) // without a witness, nothing keeps two successors from dispatching it
        return record.request.id.witness != 0 && record.right.phase() != right_phase::closed;
    return !record.attempt.stream.empty();
}

void handover_sender::offer(const record_pointer &record)
{
    const std::vector<incarnation> successors = m_successors(record->request);
    if (successors.empty())
        return;
    const bool undispatched = !record->request.repeatable && record->attempt.number == 0;
    if (undispatched && !record->right.freeze())
        return;
    const incarnation successor = successors[record->offers % successors.size()];
    record->handover = handover_phase::offered;
    record->everOffered = true;
    m_parts.peers.handOver(
        successor, describe(*record),
        [this, record, successor](const outcome<void> &answer) { answered(record, successor, answer); });
}

void handover_sender::answered(const record_pointer &record, incarnation successor,
                               const outcome<void> &answer)
{
    m_parts.metrics.add("ivypier_handovers_total", {{"result", answer ? "accepted" : "failed"}});
    if (!record->isOpen())
        return;
    if (answer) {
        m_parts.owner.moved(record, successor);
        offerAll();
        return;
    }
    log_event(log_level::warning, "request.handover_failed")
        .with("request", record->key)
        .with("successor", toHex(successor))
        .with("reason", name(answer.error().code))
        .with("detail", answer.error().message)
        .write();
    // An answer that was lost is asked for again once; the successor may have the request.
    const bool unsure
        = answer.error().code != error_code::refused && answer.error().code != error_code::unavailable;
    const bool askAgain = unsure && !std::exchange(record->offeredAgain, unsure);
    if (!askAgain) {
        ++record->offers;
        record->offeredAgain = false;
    }
    record->handover = handover_phase::none;
}

void handover_sender::close(const record_pointer &record)
{
    const bool sole = record->attempt.number == 0 && !record->everOffered && record->right.previous().empty();
    const bool closed = sole && (record->request.repeatable || record->right.close());
    final_answer answer{.outcome = closed ? request_outcome::not_run : request_outcome::unknown,
                        .status = closed ? status_service_unavailable : status_bad_gateway,
                        .cause = "leaving",
                        .retryAfter = short_retry_after};
    m_parts.attempts.cancel(*record);
    m_parts.owner.finish(record, std::move(answer));
}

handed_request handover_sender::describe(const request_record &record) const
{
    handed_request handed;
    handed.request = record.request;
    handed.request.timeout = remaining(record, m_parts.tasks.now());
    handed.previous = record.right.previous();
    handed.previous.push_back(m_parts.self);
    handed.dispatched = record.attempt.number > 0;
    handed.mayHaveRun = record.mayHaveRun;
    handed.attempts = record.attempt.number;
    if (!record.attempt.stream.empty())
        handed.running = running_stream{record.attempt.target, record.attempt.stream};
    handed.pieces = record.pieces;
    handed.excluded = record.excluded;
    handed.cost = record.cost;
    return handed;
}

} // namespace ivypier::requests
