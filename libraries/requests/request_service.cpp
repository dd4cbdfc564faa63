#include "requests/request_service.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/status_codes.h"
#include "entry/entry_directory.h"

#include <algorithm>
#include <utility>

namespace ivypier::requests {

namespace {

/// Retry-After for requests that got no grant or no upstream.
constexpr duration default_retry_after = std::chrono::seconds(1);

/// The grant request is retried when the witness does not respond or is being replaced by a successor.
constexpr unsigned max_grant_attempts = 8;
constexpr duration grant_retry_delay = std::chrono::milliseconds(150);

int httpStatusOf(admission::refusal_cause cause)
{
    const bool overLimit
        = cause == admission::refusal_cause::over_rate || cause == admission::refusal_cause::over_concurrency;
    return overLimit ? status_too_many_requests : status_service_unavailable;
}

std::string conversationKeyOf(const request_record &record)
{
    return entry::conversationKey(record.request.account, record.request.conversation);
}

} // namespace

request_service::request_service(request_service_dependencies dependencies)
    : m_dependencies(dependencies)
    , m_self(dependencies.members.self().id)
    , m_table(dependencies.tasks, m_self, dependencies.limits)
    , m_conversations(dependencies.tasks, dependencies.members, dependencies.peers,
                      [this](const std::string &key) { scheduleStart(key); })
    , m_attempts({dependencies.tasks, dependencies.metrics, dependencies.router, dependencies.retries,
                  dependencies.engines, dependencies.services, *this, m_self})
    , m_handover({dependencies.tasks, dependencies.metrics, m_table, m_conversations, m_attempts,
                  dependencies.peers, *this, m_self})
{
}

request_service::~request_service() = default;

void request_service::submit(incoming_request request, std::uint64_t firstChunk,
                             std::shared_ptr<answer_listener> listener)
{
    const std::string key = request.key();
    if (attach(key, firstChunk, listener))
        return;
    const id_status idStatus = m_table.idStatus(request.name());
    if (idStatus != id_status::fresh) {
        refuseUnknownId(request, idStatus, listener);
        return;
    }
    dispatch_right right(request.name(), m_self, {});
    const record_pointer record = create(std::move(request), std::move(right));
    addListener(*record, firstChunk, std::move(listener));
    if (!m_accepting) {
        refuse(record, {admission::refusal_cause::leaving, default_retry_after});
        return;
    }
    accept(record);
}

record_pointer request_service::create(incoming_request request, dispatch_right right)
{
    auto record
        = std::make_shared<request_record>(std::move(request), std::move(right), m_dependencies.tasks.now());
    m_table.add(record);
    return record;
}

void request_service::refuseUnknownId(const incoming_request &request, id_status idStatus,
                                      const std::shared_ptr<answer_listener> &listener) const
{
    // The id of a request that ran outlives the expiry of its ticket, so an unknown id did not run.
    const bool expired = idStatus == id_status::expired;
    final_answer answer{.outcome = expired ? request_outcome::not_run : request_outcome::unknown,
                        .status = status_gone,
                        .cause = expired ? "ticket_expired" : "id_forgotten"};
    log_event(log_level::info, "request.old_ticket")
        .with("request", request.key())
        .with("cause", answer.cause)
        .write();
    listener->onFinal(answer);
}

bool request_service::attach(const std::string &key, std::uint64_t firstChunk,
                             std::shared_ptr<answer_listener> listener)
{
    const record_pointer record = m_table.find(key);
    if (!record)
        return false;
    addListener(*record, firstChunk, std::move(listener));
    return true;
}

std::optional<configuration::service_kind> request_service::serviceKindOf(const std::string &key) const
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

outcome<void> request_service::acceptHandover(const handover_payload &payload)
{
    const request_name name = payload.request.name();
    if (m_table.find(name.key))
        return success();
    if (!m_accepting || name.home == m_self || m_table.idStatus(name) != id_status::fresh)
        return error{error_code::refused, "this node takes no requests over"};
    dispatch_right right = payload.dispatched ? dispatch_right::forDispatched(name, m_self, payload.previous)
                                              : dispatch_right(name, m_self, payload.previous);
    const record_pointer record = create(payload.request, std::move(right));
    record->chunks = payload.chunks;
    record->excluded = payload.excluded;
    record->cost = payload.cost;
    // A repeatable request may also have been accepted by another successor, if the response to its offer was
    // lost.
    record->mayHaveRun = payload.mayHaveRun || payload.request.repeatable;
    record->attempt.number = payload.attempts;
    if (payload.mayHaveRun)
        record->attempt.recompute = recompute_cause::handover;
    log_event(log_level::info, "request.taken_over")
        .with("request", record->key)
        .with("pieces", static_cast<std::int64_t>(record->chunks.size()))
        .with("stream", payload.running ? payload.running->stream : "")
        .write();
    record->admitted = !m_dependencies.admission.admit(admissionRequest(*record, duration::zero()));
    startDeadlineTimer(record);
    if (name.witness != 0) // lets callers find the new holder through the witness
        m_dependencies.peers.requestGrant(record->right.intent(), [](const outcome<bool> &) {});
    const bool first = record->request.conversation.empty()
        || m_conversations.enqueueHandedOver(conversationKeyOf(*record), record->key);
    if (payload.running) {
        record->hasStarted = true;
        m_attempts.resume(record, payload.running->target, payload.running->stream);
    } else if (first) {
        scheduleStart(record->key);
    }
    return success();
}

bool request_service::hasConversation(const std::string &conversation) const
{
    return m_conversations.contains(conversation);
}

void request_service::onUpstreamLeaving(const endpoint &upstream)
{
    m_attempts.moveStreams(upstream, m_table.open());
}

void request_service::startEpochRotation(std::function<void(std::uint64_t)> onEpochChanged)
{
    m_table.startEpochRotation(std::move(onEpochChanged));
}

void request_service::stopAccepting()
{
    m_accepting = false;
}

void request_service::handOver(successor_selector successors, time_point deadline)
{
    stopAccepting();
    m_handover.start(std::move(successors), deadline);
}

std::size_t request_service::unfinished() const
{
    return m_table.openCount();
}

void request_service::accept(const record_pointer &record)
{
    const outcome<routing::routing_choice> choice = m_dependencies.router.choose(makeRoutingRequest(*record));
    if (!choice) {
        refuse(record, {admission::refusal_cause::no_upstream, default_retry_after});
        return;
    }
    admission::admission_request admissionQuery
        = admissionRequest(*record, choice.value().expectedFirstToken);
    admissionQuery.unloaded = choice.value().unloadedFirstToken;
    admissionQuery.margin = choice.value().margin;
    const auto refused = m_dependencies.admission.admit(admissionQuery);
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
    startDeadlineTimer(record);
    enqueueInConversation(record);
}

void request_service::startDeadlineTimer(const record_pointer &record)
{
    record->deadlineTimer
        = m_dependencies.tasks.after(record->request.timeout, [this, record] { onDeadlineExpired(record); });
}

void request_service::enqueueInConversation(const record_pointer &record)
{
    if (record->request.conversation.empty()) {
        startRequest(record);
        return;
    }
    if (m_conversations.enqueue(conversationKeyOf(*record), record->key))
        startRequest(record);
}

void request_service::dequeueFromConversation(const request_record &record)
{
    if (!record.request.conversation.empty())
        m_conversations.dequeue(conversationKeyOf(record), record.key);
}

void request_service::scheduleStart(const std::string &key)
{
    const record_pointer record = m_table.find(key);
    if (record)
        m_dependencies.tasks.post([this, record] { startRequest(record); });
}

void request_service::startRequest(const record_pointer &record)
{
    if (m_handover.defersStart(*record) || !record->isOpen() || std::exchange(record->hasStarted, true))
        return;
    if (!record->request.repeatable && record->attempt.number > 0) { // dispatched before the handover
        finish(record,
               {.outcome = request_outcome::unknown, .status = status_bad_gateway, .cause = "handed_over"});
        return;
    }
    const bool needsGrant = !record->request.repeatable && record->request.id.witness != 0;
    if (needsGrant)
        requestGrant(record, max_grant_attempts);
    else
        m_attempts.dispatch(record);
}

void request_service::requestGrant(const record_pointer &record, unsigned attemptsLeft)
{
    std::optional<dispatch_intent> intent = record->right.prepareIntent();
    if (!intent) {
        if (record->right.phase() == right_phase::granted && record->attempt.number == 0)
            m_attempts.dispatch(record);
        return;
    }
    if (record->request.id.home == m_self)
        intent->forgottenBelow = m_table.epochs().forgottenBelow();
    m_dependencies.peers.requestGrant(*intent, [this, record, attemptsLeft](const outcome<bool> &granted) {
        if (granted && granted.value()) {
            if (record->right.acceptGrant(m_self))
                m_attempts.dispatch(record);
            return;
        }
        if (granted) {
            onGrantRefused(record, "witness_refused");
            return;
        }
        if (attemptsLeft <= 1 || !record->isOpen()) {
            onGrantRefused(record, "witness_silent");
            return;
        }
        m_dependencies.tasks.after(grant_retry_delay, [this, record, attemptsLeft] {
            if (record->isOpen())
                requestGrant(record, attemptsLeft - 1);
        });
    });
}

void request_service::onGrantRefused(const record_pointer &record, const std::string &cause)
{
    if (!record->isOpen() || !record->right.close())
        return;
    if (record->right.provesNotRun()) {
        closeNotRun(record, cause);
        return;
    }
    // Only the witness knows whether another holder ran the request.
    m_dependencies.peers.requestVerdict(record->request.name(),
                                        [this, record, cause](const outcome<witness_verdict> &verdict) {
                                            if (verdict && verdict.value().answer) {
                                                applyAnswer(record, *verdict.value().answer);
                                                return;
                                            }
                                            final_answer answer{.status = status_bad_gateway, .cause = cause};
                                            if (verdict)
                                                answer.outcome = verdict.value().outcome;
                                            answer.retryAfter = default_retry_after;
                                            finish(record, std::move(answer));
                                        });
}

void request_service::applyAnswer(const record_pointer &record, final_answer answer)
{
    for (std::uint64_t index = record->chunks.size(); index < answer.chunks.size(); ++index) {
        record->chunks.push_back(answer.chunks[index]);
        for (listener_position &each : record->listeners) {
            if (each.next != index)
                continue;
            ++each.next;
            each.listener->onChunk(index, record->chunks[index]);
        }
    }
    answer.chunks.clear();
    finish(record, std::move(answer));
}

void request_service::onDeadlineExpired(const record_pointer &record)
{
    record->deadlineTimer = 0;
    if (!record->isOpen())
        return;
    const bool neverDispatched = record->attempt.number == 0 && !record->everOffered;
    if (neverDispatched && record->right.previous().empty()) {
        closeNotRun(record, "deadline");
        return;
    }
    m_attempts.cancel(*record);
    finish(record,
           {.outcome = request_outcome::unknown, .status = status_gateway_timeout, .cause = "deadline"});
}

void request_service::refuse(const record_pointer &record, const admission::refusal &reason)
{
    const std::string cause(admission::name(reason.cause));
    m_dependencies.metrics.add("ivypier_refusals_total",
                               {{"account", record->request.account}, {"cause", cause}});
    record->right.close();
    final_answer answer{.outcome = request_outcome::not_run, .status = httpStatusOf(reason.cause)};
    answer.cause = cause;
    answer.retryAfter = reason.retryAfter;
    finish(record, std::move(answer));
}

void request_service::closeNotRun(const record_pointer &record, const std::string &cause)
{
    if (!record->isOpen() || !record->right.close())
        return;
    final_answer answer{.outcome = request_outcome::not_run, .status = status_service_unavailable};
    answer.cause = cause;
    answer.retryAfter = default_retry_after;
    finish(record, std::move(answer));
}

void request_service::finish(const record_pointer &record, final_answer answer)
{
    if (!record->isOpen())
        return;
    metric_labels labels = metricLabelsOf(*record);
    labels.emplace_back("outcome", name(answer.outcome));
    m_dependencies.metrics.add("ivypier_requests_total", labels);
    m_dependencies.metrics.add("ivypier_cost_total", metricLabelsOf(*record), record->cost);
    answer.cost = record->cost;
    m_dependencies.metrics.add("ivypier_tokens_total", {{"service", record->request.service.name}},
                               static_cast<double>(record->chunks.size()));
    log_event(log_level::info, "request.finished")
        .with("request", record->key)
        .with("account", record->request.account)
        .with("outcome", name(answer.outcome))
        .with("cause", answer.cause)
        .with("upstream", answer.servedBy)
        .with("seconds", seconds(m_dependencies.tasks.now() - record->acceptedAt))
        .write();
    record->attempt.generation.reset();
    record->final = std::move(answer);
    releaseAdmission(record);
    const bool notifyWitness = !record->request.repeatable && record->request.id.witness != 0
        && record->final->outcome == request_outcome::answered;
    if (notifyWitness) {
        final_answer fullAnswer = *record->final;
        fullAnswer.chunks = record->chunks;
        m_dependencies.peers.sendAnswer(record->request.name(), fullAnswer);
    }
    for (const listener_position &each : std::exchange(record->listeners, {}))
        each.listener->onFinal(*record->final);
    dequeueFromConversation(*record);
    // A repeatable request that did not run may be submitted again with the same id.
    if (record->request.repeatable && record->final->outcome == request_outcome::not_run)
        m_table.remove(record->key);
    else
        m_table.retain(record);
}

void request_service::completeHandover(const record_pointer &record, incarnation successor)
{
    const auto member = m_dependencies.members.find(successor);
    if (!member) { // the successor is no longer a member
        record->handover = handover_phase::none;
        return;
    }
    log_event(log_level::info, "request.moved")
        .with("request", record->key)
        .with("successor", member->name)
        .with("pieces", static_cast<std::int64_t>(record->chunks.size()))
        .write();
    record->movedTo = member->address.text();
    record->handover = handover_phase::moved;
    m_attempts.release(*record);
    releaseAdmission(record);
    for (const listener_position &each : std::exchange(record->listeners, {}))
        each.listener->onMoved(record->movedTo);
    dequeueFromConversation(*record);
    m_table.retain(record);
}

void request_service::releaseAdmission(const record_pointer &record)
{
    m_dependencies.tasks.cancel(record->deadlineTimer);
    if (std::exchange(record->admitted, false))
        m_dependencies.admission.finished(admissionRequest(*record, duration::zero()));
}

void request_service::addListener(request_record &record, std::uint64_t firstChunk,
                                  std::shared_ptr<answer_listener> listener)
{
    for (std::uint64_t index = firstChunk; index < record.chunks.size(); ++index)
        listener->onChunk(index, record.chunks[index]);
    if (record.handover == handover_phase::moved)
        listener->onMoved(record.movedTo);
    else if (record.final)
        listener->onFinal(*record.final);
    else
        record.listeners.push_back(
            {std::move(listener), std::max<std::uint64_t>(firstChunk, record.chunks.size())});
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
