#include "requests/handover_sender.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/status_codes.h"
#include "entry/entry_directory.h"

#include <algorithm>

namespace ivypier::requests {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds(50);

/// Before the deadline, what could still finish here is payload over too.
constexpr duration final_phase_duration = std::chrono::milliseconds(800);

/// Before the deadline, what no successor took is onOfferCompleted.
constexpr duration closing_margin = std::chrono::milliseconds(300);

constexpr duration default_retry_after = std::chrono::seconds(1);

std::string conversationKeyOf(const request_record &record)
{
    return entry::conversationKey(record.request.account, record.request.conversation);
}

} // namespace

handover_sender::handover_sender(handover_sender_parts parts)
    : m_parts(parts)
{
}

void handover_sender::start(successor_selector successors, time_point deadline)
{
    m_selectSuccessors = std::move(successors);
    m_deadline = deadline;
    if (std::exchange(m_active, true))
        return;
    sweep();
}

bool handover_sender::defersStart(const request_record &record) const
{
    return m_active && canMove(record) && !m_selectSuccessors(record.request).empty();
}

void handover_sender::sweep()
{
    offerRequests();
    const duration timeLeft = m_deadline - m_parts.tasks.now();
    for (const record_pointer &record : m_parts.table.open()) {
        if (timeLeft <= closing_margin || (isFinalPhase() && !canMove(*record)))
            close(record);
    }
    if (timeLeft > closing_margin && m_parts.table.openCount() > 0)
        m_parts.tasks.after(sweep_interval, [this] { sweep(); });
}

void handover_sender::offerRequests()
{
    for (const record_pointer &record : m_parts.table.open()) {
        if (record->handover == handover_phase::none && isFirstInConversation(*record) && canMove(*record))
            offer(record);
    }
}

bool handover_sender::isFinalPhase() const
{
    return m_deadline - m_parts.tasks.now() <= final_phase_duration;
}

bool handover_sender::isFirstInConversation(const request_record &record) const
{
    return record.request.conversation.empty()
        || m_parts.conversations.isFirst(conversationKeyOf(record), record.key);
}

bool handover_sender::canMove(const request_record &record) const
{
    const bool neverDispatched = record.attempt.number == 0;
    if (record.request.repeatable) {
        const bool isStream = record.request.service.kind == configuration::service_kind::model;
        return neverDispatched || isStream || isFinalPhase() || record.attempt.id.empty();
    }
    if (neverDispatched) // without a witness, nothing defersStart two successors from dispatching it
        return record.request.id.witness != 0 && record.right.phase() != right_phase::closed;
    return !record.attempt.stream.empty();
}

void handover_sender::offer(const record_pointer &record)
{
    const std::vector<incarnation> successors = m_selectSuccessors(record->request);
    if (successors.empty())
        return;
    const bool needsFreeze = !record->request.repeatable && record->attempt.number == 0;
    if (needsFreeze && !record->right.freeze())
        return;
    const incarnation successor = successors[record->failedOffers % successors.size()];
    record->handover = handover_phase::offered;
    record->everOffered = true;
    m_parts.peers.handOver(successor, makePayload(*record),
                           [this, record, successor](const outcome<void> &answer) {
                               onOfferCompleted(record, successor, answer);
                           });
}

void handover_sender::onOfferCompleted(const record_pointer &record, incarnation successor,
                                       const outcome<void> &answer)
{
    m_parts.metrics.add("ivypier_handovers_total", {{"result", answer ? "accepted" : "failed"}});
    if (!record->isOpen())
        return;
    if (answer) {
        m_parts.owner.moved(record, successor);
        offerRequests();
        return;
    }
    log_event(log_level::warning, "request.handover_failed")
        .with("request", record->key)
        .with("successor", toHex(successor))
        .with("reason", name(answer.error().code))
        .with("detail", answer.error().message)
        .write();
    // An answer that was lost is asked for again once; the successor may have the request.
    const bool isAmbiguous
        = answer.error().code != error_code::refused && answer.error().code != error_code::unavailable;
    const bool retrySameSuccessor = isAmbiguous && !std::exchange(record->offerRetried, isAmbiguous);
    if (!retrySameSuccessor) {
        ++record->failedOffers;
        record->offerRetried = false;
    }
    record->handover = handover_phase::none;
}

void handover_sender::close(const record_pointer &record)
{
    const bool isSoleHolder
        = record->attempt.number == 0 && !record->everOffered && record->right.previous().empty();
    const bool closed = isSoleHolder && (record->request.repeatable || record->right.close());
    final_answer answer{.outcome = closed ? request_outcome::not_run : request_outcome::unknown,
                        .status = closed ? status_service_unavailable : status_bad_gateway,
                        .cause = "leaving",
                        .retryAfter = default_retry_after};
    m_parts.attempts.cancel(*record);
    m_parts.owner.finish(record, std::move(answer));
}

handover_payload handover_sender::makePayload(const request_record &record) const
{
    handover_payload payload;
    payload.request = record.request;
    payload.request.timeout = timeRemaining(record, m_parts.tasks.now());
    payload.previous = record.right.previous();
    payload.previous.push_back(m_parts.self);
    payload.dispatched = record.attempt.number > 0;
    payload.mayHaveRun = record.mayHaveRun;
    payload.attempts = record.attempt.number;
    if (!record.attempt.stream.empty())
        payload.running = running_stream{record.attempt.target, record.attempt.stream};
    payload.chunks = record.chunks;
    payload.excluded = record.excluded;
    payload.cost = record.cost;
    return payload;
}

} // namespace ivypier::requests
