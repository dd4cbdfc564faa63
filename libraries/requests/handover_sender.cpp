#include "requests/handover_sender.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/status_codes.h"
#include "entry/entry_directory.h"

#include <algorithm>

namespace ivypier::requests {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds(50);

/// For this time before the deadline, requests that could still finish on this node are handed over too.
constexpr duration final_phase_duration = std::chrono::milliseconds(800);

/// This long before the deadline, requests that no successor accepted are answered.
constexpr duration closing_margin = std::chrono::milliseconds(300);

constexpr duration default_retry_after = std::chrono::seconds(1);

std::string conversationKeyOf(const request_record &record)
{
    return entry::conversationKey(record.request.account, record.request.conversation);
}

} // namespace

handover_sender::handover_sender(handover_sender_dependencies dependencies)
    : m_dependencies(dependencies)
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
    const duration timeLeft = m_deadline - m_dependencies.tasks.now();
    for (const record_pointer &record : m_dependencies.table.open()) {
        if (timeLeft <= closing_margin || (isFinalPhase() && !canMove(*record)))
            closeRequest(record);
    }
    if (timeLeft > closing_margin && m_dependencies.table.openCount() > 0)
        m_dependencies.tasks.after(sweep_interval, [this] { sweep(); });
}

void handover_sender::offerRequests()
{
    for (const record_pointer &record : m_dependencies.table.open()) {
        if (record->handover == handover_phase::none && isFirstInConversation(*record) && canMove(*record))
            offer(record);
    }
}

bool handover_sender::isFinalPhase() const
{
    return m_deadline - m_dependencies.tasks.now() <= final_phase_duration;
}

bool handover_sender::isFirstInConversation(const request_record &record) const
{
    return record.request.conversation.empty()
        || m_dependencies.conversations.isFirst(conversationKeyOf(record), record.key);
}

bool handover_sender::canMove(const request_record &record) const
{
    const bool neverDispatched = record.attempt.number == 0;
    if (record.request.repeatable) {
        const bool isStream = record.request.service.kind == configuration::service_kind::model;
        return neverDispatched || isStream || isFinalPhase() || record.attempt.id.empty();
    }
    if (neverDispatched) // without a witness, two successors could both dispatch it
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
    m_dependencies.peers.handOver(successor, makePayload(*record),
                                  [this, record, successor](const outcome<void> &answer) {
                                      onOfferCompleted(record, successor, answer);
                                  });
}

void handover_sender::onOfferCompleted(const record_pointer &record, incarnation successor,
                                       const outcome<void> &answer)
{
    m_dependencies.metrics.add("ivypier_handovers_total", {{"result", answer ? "accepted" : "failed"}});
    if (!record->isOpen())
        return;
    if (answer) {
        m_dependencies.owner.completeHandover(record, successor);
        offerRequests();
        return;
    }
    log_event(log_level::warning, "request.handover_failed")
        .with("request", record->key)
        .with("successor", toHex(successor))
        .with("reason", name(answer.error().code))
        .with("detail", answer.error().message)
        .write();
    // When a response is lost, the successor may have accepted the request, so the same successor gets the
    // offer once more.
    const bool isAmbiguous
        = answer.error().code != error_code::refused && answer.error().code != error_code::unavailable;
    const bool retrySameSuccessor = isAmbiguous && !std::exchange(record->offerRetried, isAmbiguous);
    if (!retrySameSuccessor) {
        ++record->failedOffers;
        record->offerRetried = false;
    }
    record->handover = handover_phase::none;
}

void handover_sender::closeRequest(const record_pointer &record)
{
    const bool isSoleHolder
        = record->attempt.number == 0 && !record->everOffered && record->right.previous().empty();
    const bool closed = isSoleHolder && (record->request.repeatable || record->right.close());
    final_answer answer{.outcome = closed ? request_outcome::not_run : request_outcome::unknown,
                        .status = closed ? status_service_unavailable : status_bad_gateway,
                        .cause = "leaving",
                        .retryAfter = default_retry_after};
    m_dependencies.attempts.cancel(*record);
    m_dependencies.owner.finish(record, std::move(answer));
}

handover_payload handover_sender::makePayload(const request_record &record) const
{
    handover_payload payload;
    payload.request = record.request;
    payload.request.timeout = timeRemaining(record, m_dependencies.tasks.now());
    payload.previous = record.right.previous();
    payload.previous.push_back(m_dependencies.self);
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
