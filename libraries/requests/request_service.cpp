#include "requests/request_service.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/status_codes.h"
#include "entry/entry_directory.h"

#include <algorithm>
#include <utility>

namespace ivypier::requests {

namespace {

/// When a caller whose request could not get its grant or upstream may come back.
constexpr duration short_retry_after = std::chrono::seconds(1);

/// A witness that is silent, or that passes its records on, is asked again.
constexpr unsigned grant_tries = 8;
constexpr duration grant_pause = std::chrono::milliseconds(150);

int statusOf(admission::refusal_cause cause)
{
    const bool overLimit
        = cause == admission::refusal_cause::over_rate || cause == admission::refusal_cause::over_concurrency;
    return overLimit ? status_too_many_requests : status_service_unavailable;
}

std::string conversationOf(const request_record &record)
{
    return entry::conversationKey(record.request.account, record.request.conversation);
}

} // namespace

request_service::request_service(request_service_parts parts)
    : m_parts(parts)
    , m_self(parts.members.self().id)
    , m_table(parts.tasks, m_self, parts.limits)
    , m_conversations(parts.tasks, parts.members, parts.peers,
                      [this](const std::string &key) { beginLater(key); })
    , m_attempts({parts.tasks, parts.metrics, parts.router, parts.retries, parts.engines, parts.services,
                  *this, m_self})
    , m_handover(
          {parts.tasks, parts.metrics, m_table, m_conversations, m_attempts, parts.peers, *this, m_self})
{
}

request_service::~request_service() = default;

void request_service::submit(incoming_request request, std::uint64_t from,
                             std::shared_ptr<answer_listener> listener)
{
    const std::string key = request.key();
    if (attach(key, from, listener))
        return;
    const id_standing standing = m_table.standing(request.name());
    if (standing != id_standing::fresh) {
        refuseUnknownId(request, standing, listener);
        return;
    }
    dispatch_right right(request.name(), m_self, {});
    const record_pointer record = create(std::move(request), std::move(right));
    addListener(*record, from, std::move(listener));
    if (!m_accepting) {
        refuse(record, {admission::refusal_cause::leaving, short_retry_after});
        return;
    }
    accept(record);
}

record_pointer request_service::create(incoming_request request, dispatch_right right)
{
    auto record = std::make_shared<request_record>(std::move(request), std::move(right), m_parts.tasks.now());
    m_table.add(record);
    return record;
}

void request_service::refuseUnknownId(const incoming_request &request, id_standing standing,
                                      const std::shared_ptr<answer_listener> &listener) const
{
    // An expired ticket's id is still known when it ran, so this one did not run.
    const bool expired = standing == id_standing::expired;
    final_answer answer{.outcome = expired ? request_outcome::not_run : request_outcome::unknown,
                        .status = status_gone,
                        .cause = expired ? "ticket_expired" : "id_forgotten"};
    log_event(log_level::info, "request.old_ticket")
        .with("request", request.key())
        .with("cause", answer.cause)
        .write();
    listener->onFinal(answer);
}

bool request_service::attach(const std::string &key, std::uint64_t from,
                             std::shared_ptr<answer_listener> listener)
{
    const record_pointer record = m_table.find(key);
    if (!record)
        return false;
    addListener(*record, from, std::move(listener));
    return true;
}

std::optional<configuration::service_kind> request_service::kindOf(const std::string &key) const
{
    const record_pointer record = m_table.find(key);
    return record ? std::optional(record->request.service.kind) : std::nullopt;
}

void request_service::detach(const std::string &key, const answer_listener *listener)
{
    const record_pointer record = m_table.find(key);
    if (!record)
        return;
    std::erase_if(record->listeners,
                  [&](const listener_position &each) { return each.listener.get() == listener; });
}

outcome<void> request_service::takeOver(const handed_request &handed)
{
    const request_name name = handed.request.name();
    if (m_table.find(name.key))
        return success();
    if (!m_accepting || name.home == m_self || m_table.standing(name) != id_standing::fresh)
        return error{error_code::refused, "this node takes no requests over"};
    dispatch_right right = handed.dispatched ? dispatch_right::ofDispatched(name, m_self, handed.previous)
                                             : dispatch_right(name, m_self, handed.previous);
    const record_pointer record = create(handed.request, std::move(right));
    record->pieces = handed.pieces;
    record->excluded = handed.excluded;
    record->cost = handed.cost;
    // Another successor may have a repeatable one too, when an answer to its offer was lost.
    record->mayHaveRun = handed.mayHaveRun || handed.request.repeatable;
    record->attempt.number = handed.attempts;
    if (handed.mayHaveRun)
        record->attempt.recompute = recompute_cause::handover;
    log_event(log_level::info, "request.taken_over")
        .with("request", record->key)
        .with("pieces", static_cast<std::int64_t>(record->pieces.size()))
        .with("stream", handed.running ? handed.running->stream : "")
        .write();
    record->admitted = !m_parts.admission.admit(admissionRequest(*record, duration::zero()));
    watchDeadline(record);
    if (name.witness != 0) // lets callers find the request by its witness
        m_parts.peers.askGrant(record->right.intent(), [](const outcome<bool> &) {});
    const bool first = record->request.conversation.empty()
        || m_conversations.enterHanded(conversationOf(*record), record->key);
    if (handed.running) {
        record->begun = true;
        m_attempts.resume(record, handed.running->target, handed.running->stream);
    } else if (first) {
        beginLater(record->key);
    }
    return success();
}

bool request_service::hasConversation(const std::string &conversation) const
{
    return m_conversations.contains(conversation);
}

void request_service::upstreamLeaving(const endpoint &upstream)
{
    m_attempts.moveStreams(upstream, m_table.open());
}

void request_service::countEpochs(std::function<void(std::uint64_t)> changed)
{
    m_table.countEpochs(std::move(changed));
}

void request_service::stopAccepting()
{
    m_accepting = false;
}

void request_service::handOver(successor_choice successors, time_point end)
{
    stopAccepting();
    m_handover.start(std::move(successors), end);
}

std::size_t request_service::unfinished() const
{
    return m_table.openCount();
}

void request_service::accept(const record_pointer &record)
{
    const outcome<routing::routing_choice> choice = m_parts.router.choose(routingRequest(*record));
    if (!choice) {
        refuse(record, {admission::refusal_cause::no_upstream, short_retry_after});
        return;
    }
    admission::admission_request asked = admissionRequest(*record, choice.value().expectedFirstToken);
    asked.unloaded = choice.value().unloadedFirstToken;
    asked.margin = choice.value().margin;
    const auto refused = m_parts.admission.admit(asked);
    if (refused) {
        refuse(record, *refused);
        return;
    }
    record->admitted = true;
    log_event(log_level::info, "request.accepted")
        .with("request", record->key)
        .with("account", record->request.account)
        .with("service", record->request.service.name)
        .write();
    watchDeadline(record);
    enterConversation(record);
}

void request_service::watchDeadline(const record_pointer &record)
{
    record->deadlineTimer
        = m_parts.tasks.after(record->request.timeout, [this, record] { deadlinePassed(record); });
}

void request_service::enterConversation(const record_pointer &record)
{
    if (record->request.conversation.empty()) {
        begin(record);
        return;
    }
    if (m_conversations.enter(conversationOf(*record), record->key))
        begin(record);
}

void request_service::leaveConversation(const request_record &record)
{
    if (!record.request.conversation.empty())
        m_conversations.leave(conversationOf(record), record.key);
}

void request_service::beginLater(const std::string &key)
{
    const record_pointer record = m_table.find(key);
    if (record)
        m_parts.tasks.post([this, record] { begin(record); });
}

void request_service::begin(const record_pointer &record)
{
    if (m_handover.keeps(*record) || !record->isOpen() || std::exchange(record->begun, true))
        return;
    if (!record->request.repeatable && record->attempt.number > 0) { // dispatched before the handover
        finish(record,
               {.outcome = request_outcome::unknown, .status = status_bad_gateway, .cause = "handed_over"});
        return;
    }
    const bool needsGrant = !record->request.repeatable && record->request.id.witness != 0;
    if (needsGrant)
        askGrant(record, grant_tries);
    else
        m_attempts.dispatch(record);
}

void request_service::askGrant(const record_pointer &record, unsigned tries)
{
    std::optional<dispatch_intent> intent = record->right.ask();
    if (!intent) {
        if (record->right.phase() == right_phase::granted && record->attempt.number == 0)
            m_attempts.dispatch(record);
        return;
    }
    if (record->request.id.home == m_self)
        intent->forgottenBelow = m_table.epochs().forgottenBelow();
    m_parts.peers.askGrant(*intent, [this, record, tries](const outcome<bool> &granted) {
        if (granted && granted.value()) {
            if (record->right.takeGrant(m_self))
                m_attempts.dispatch(record);
            return;
        }
        if (granted) {
            grantRefused(record, "witness_refused");
            return;
        }
        if (tries <= 1 || !record->isOpen()) {
            grantRefused(record, "witness_silent");
            return;
        }
        m_parts.tasks.after(grant_pause, [this, record, tries] {
            if (record->isOpen())
                askGrant(record, tries - 1);
        });
    });
}

void request_service::grantRefused(const record_pointer &record, const std::string &cause)
{
    if (!record->isOpen() || !record->right.close())
        return;
    if (record->right.closedMeansNotRun()) {
        closeNotRun(record, cause);
        return;
    }
    // Only the witness can say whether another holder ran it.
    m_parts.peers.askVerdict(record->request.name(),
                             [this, record, cause](const outcome<witness_verdict> &verdict) {
                                 if (verdict && verdict.value().answer) {
                                     takeAnswer(record, *verdict.value().answer);
                                     return;
                                 }
                                 final_answer answer{.status = status_bad_gateway, .cause = cause};
                                 if (verdict)
                                     answer.outcome = verdict.value().outcome;
                                 answer.retryAfter = short_retry_after;
                                 finish(record, std::move(answer));
                             });
}

void request_service::takeAnswer(const record_pointer &record, final_answer answer)
{
    for (std::uint64_t index = record->pieces.size(); index < answer.pieces.size(); ++index) {
        record->pieces.push_back(answer.pieces[index]);
        for (listener_position &each : record->listeners) {
            if (each.next != index)
                continue;
            ++each.next;
            each.listener->onPiece(index, record->pieces[index]);
        }
    }
    answer.pieces.clear();
    finish(record, std::move(answer));
}

void request_service::deadlinePassed(const record_pointer &record)
{
    record->deadlineTimer = 0;
    if (!record->isOpen())
        return;
    const bool untouched = record->attempt.number == 0 && !record->everOffered;
    if (untouched && record->right.previous().empty()) {
        closeNotRun(record, "deadline");
        return;
    }
    m_attempts.cancel(*record);
    finish(record,
           {.outcome = request_outcome::unknown, .status = status_gateway_timeout, .cause = "deadline"});
}

void request_service::refuse(const record_pointer &record, const admission::refusal &why)
{
    const std::string cause(admission::name(why.cause));
    m_parts.metrics.add("ivypier_refusals_total", {{"account", record->request.account}, {"cause", cause}});
    record->right.close();
    final_answer answer{.outcome = request_outcome::not_run, .status = statusOf(why.cause)};
    answer.cause = cause;
    answer.retryAfter = why.retryAfter;
    finish(record, std::move(answer));
}

void request_service::closeNotRun(const record_pointer &record, const std::string &cause)
{
    if (!record->isOpen() || !record->right.close())
        return;
    final_answer answer{.outcome = request_outcome::not_run, .status = status_service_unavailable};
    answer.cause = cause;
    answer.retryAfter = short_retry_after;
    finish(record, std::move(answer));
}

void request_service::finish(const record_pointer &record, final_answer answer)
{
    if (!record->isOpen())
        return;
    metric_labels labels = labelsOf(*record);
    labels.emplace_back("outcome", name(answer.outcome));
    m_parts.metrics.add("ivypier_requests_total", labels);
    m_parts.metrics.add("ivypier_cost_total", labelsOf(*record), record->cost);
    answer.cost = record->cost;
    m_parts.metrics.add("ivypier_tokens_total", {{"service", record->request.service.name}},
                        static_cast<double>(record->pieces.size()));
    log_event(log_level::info, "request.finished")
        .with("request", record->key)
        .with("account", record->request.account)
        .with("outcome", name(answer.outcome))
        .with("cause", answer.cause)
        .with("upstream", answer.servedBy)
        .with("seconds", seconds(m_parts.tasks.now() - record->acceptedAt))
        .write();
    record->attempt.generation.reset();
    record->final = std::move(answer);
    settle(record);
    const bool tellWitness = !record->request.repeatable && record->request.id.witness != 0
        && record->final->outcome == request_outcome::answered;
    if (tellWitness) {
        final_answer whole = *record->final;
        whole.pieces = record->pieces;
        m_parts.peers.passAnswer(record->request.name(), whole);
    }
    for (const listener_position &each : std::exchange(record->listeners, {}))
        each.listener->onFinal(*record->final);
    leaveConversation(*record);
    // A repeatable request that did not run may be tried again under its id.
    if (record->request.repeatable && record->final->outcome == request_outcome::not_run)
        m_table.remove(record->key);
    else
        m_table.retain(record);
}

void request_service::moved(const record_pointer &record, incarnation successor)
{
    const auto member = m_parts.members.find(successor);
    if (!member) { // already gone again
        record->handover = handover_phase::none;
        return;
    }
    log_event(log_level::info, "request.moved")
        .with("request", record->key)
        .with("successor", member->name)
        .with("pieces", static_cast<std::int64_t>(record->pieces.size()))
        .write();
    record->movedTo = member->address.text();
    record->handover = handover_phase::moved;
    m_attempts.release(*record);
    settle(record);
    for (const listener_position &each : std::exchange(record->listeners, {}))
        each.listener->onMoved(record->movedTo);
    leaveConversation(*record);
    m_table.retain(record);
}

void request_service::settle(const record_pointer &record)
{
    m_parts.tasks.cancel(record->deadlineTimer);
    if (std::exchange(record->admitted, false))
        m_parts.admission.finished(admissionRequest(*record, duration::zero()));
}

void request_service::addListener(request_record &record, std::uint64_t from,
                                  std::shared_ptr<answer_listener> listener)
{
    for (std::uint64_t index = from; index < record.pieces.size(); ++index)
        listener->onPiece(index, record.pieces[index]);
    if (record.handover == handover_phase::moved)
        listener->onMoved(record.movedTo);
    else if (record.final)
        listener->onFinal(*record.final);
    else
        record.listeners.push_back(
            {std::move(listener), std::max<std::uint64_t>(from, record.pieces.size())});
}

admission::admission_request request_service::admissionRequest(const request_record &record,
                                                               duration expected) const
{
    admission::admission_request request;
    request.account = record.request.account;
    request.service = record.request.service.name;
    request.requestClass = record.request.requestClass.name;
    request.worth = record.request.requestClass.worth;
    for (const configuration::request_class &each : record.request.service.classes)
        request.maxWorth = std::max(request.maxWorth, each.worth);
    request.target = record.request.service.firstTokenTarget;
    request.expected = expected;
    return request;
}

} // namespace ivypier::requests
