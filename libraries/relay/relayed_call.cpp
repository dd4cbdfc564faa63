#include "relay/relayed_call.h"

#include "base/log_event.h"
#include "base/status_codes.h"
#include "relay/call_log.h"
#include "relay/return_time.h"
#include "relay/shared_prefix.h"

#include <algorithm>
#include <utility>

namespace ivypier::relay {

namespace {

/// Maximum attempts of one call, including those that the upstream did not run.
constexpr std::uint32_t max_attempts_per_call = 4;
/// Minimum time left to start a retry; with less, it is unlikely to complete before the deadline.
constexpr duration min_time_for_retry = std::chrono::milliseconds(40);
/// Longest time that a continuation waits for a permit of a limited upstream: it has nowhere else to go.
constexpr duration max_continuation_wait = std::chrono::seconds(3);
/// Longest time that a new call waits for the decision on its permit, while the node that decides is
/// replaced.
constexpr duration max_new_call_wait = std::chrono::milliseconds(500);
} // namespace

relayed_call::relayed_call(call_environment &environment, std::shared_ptr<const route_table> table,
                           call request, std::shared_ptr<http::reply> caller, completion_handler onCompleted)
    : m_environment(environment)
    , m_table(std::move(table))
    , m_call(std::move(request))
    , m_answer(environment, std::move(caller), [this] { onAnswerDropped(); })
    , m_onCompleted(std::move(onCompleted))
{
}

std::string relayed_call::accountName() const
{
    return m_admission.account ? m_admission.account->name : std::string();
}

duration relayed_call::timeLeft() const
{
    return m_admission.deadline - m_environment.tasks.now();
}

std::uint64_t relayed_call::uncachedTokens() const
{
    // The parts before the last are shared with other prompts, and usually cached at the selected upstream.
    return m_call.size ? ownTokens(*m_call.size) : 0;
}

std::string relayed_call::upstreamId() const
{
    return m_attempt ? m_attempt->to().id : std::string();
}

void relayed_call::start()
{
    m_answer.onCallerClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    m_admission = call_admission::decide(m_environment, m_table.get(), m_call);
    if (!m_admission.isAdmitted()) {
        refuse(m_admission.refusalStatus, m_admission.reason, m_admission.returnAfter);
        return;
    }
    m_timer = m_environment.tasks.after(timeLeft(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onDeadline();
    });
    m_choice = std::make_unique<upstream_choice>(m_environment, m_call, *m_admission.matched);
    m_resumption = std::make_unique<stream_resumption>(m_environment, m_call, accountName());
    setService(m_admission.service);
    if (m_admission.matched->isStream() && m_call.lastEvent)
        resumeStream();
    else
        startAttempt();
}

void relayed_call::setService(const std::string &service)
{
    m_serviceName = service;
    m_service = m_table->content().findService(service);
    m_suspicion = std::make_unique<call_suspicion>(m_environment, m_call, accountName(), service);
}

void relayed_call::resumeStream()
{
    m_resumption->find(weak_from_this(), m_serviceName, m_admission.matched->targets,
                       [this](const resumption_decision &decision) {
                           if (m_completed)
                               return;
#ifdef IVYPIER_MUTANT_STREAM_GUESS
                           if (!decision.origin) {
                               startAttempt();
                               return;
                           }
#endif
                           if (!decision.origin) {
                               refuse(status_service_unavailable, decision.reason.c_str(),
                                      decision.isFinal
                                          ? duration::zero()
                                          : spreadReturn(m_environment.randomness, retry_after_base));
                               return;
                           }
                           setService(decision.origin->service);
                           startAttempt();
                       });
}

void relayed_call::startAttempt()
{
    if (isQuarantined()) {
        endQuarantined();
        return;
    }
    const upstream *chosen = m_choice->choose(m_serviceName, m_resumption->origin(), selectedVersion());
    if (!chosen) {
        if (!waitForPermit())
            endWithoutUpstream();
        return;
    }
    constexpr bool mayQueue = false; // another upstream may have a permit at once
    requestPermit(*chosen, mayQueue);
}

void relayed_call::requestPermit(const upstream &chosen, bool mayQueue)
{
    const std::string id = chosen.record.id;
    if (!m_environment.permits.isNeeded(id)) {
        startAttemptOn(chosen.record);
        return;
    }
    const bool isContinuation = m_resumption->origin().has_value();
    const permit_request details{isContinuation, mayQueue, permitPatience()};
    const auto isDecided = std::make_shared<bool>(false);
    const permit_request_id request = m_environment.permits.request(
        id, details, [weak = weak_from_this(), id, isDecided](const permit_decision &decision) {
            *isDecided = true;
            const auto self = weak.lock();
            if (!self || self->m_completed)
                return;
            self->m_permitRequest.reset();
            self->onPermit(id, decision);
        });
    if (!*isDecided)
        m_permitRequest = request;
}

duration relayed_call::permitPatience() const
{
    const duration longest = m_resumption->origin() ? max_continuation_wait : max_new_call_wait;
    return std::clamp<duration>(timeLeft() - min_time_for_retry, duration::zero(), longest);
}

void relayed_call::onPermit(const std::string &id, const permit_decision &decision)
{
    if (isQuarantined()) {
        endQuarantined();
        return;
    }
    const upstream *chosen = m_environment.upstreams.find(id);
    if (decision.isGranted && chosen && !chosen->record.draining
        && m_choice->mayStillUse(chosen->record, m_resumption->origin())) {
        startAttemptOn(chosen->record);
        return;
    }
    if (decision.isGranted)
        m_choice->exclude(id);
    else if (m_resumption->origin())
        m_choice->excludeUntilPermit(id, decision);
    else
        m_choice->exclude(id, decision.returnAfter);
    startAttempt();
}

bool relayed_call::waitForPermit()
{
    if (!m_resumption->origin())
        return false;
    const upstream *soonest = m_choice->takeSoonest(permitPatience());
    if (!soonest)
        return false;
    constexpr bool mayQueue = true;
    requestPermit(*soonest, mayQueue);
    return true;
}

attempt relayed_call::attemptDetails(const upstream_record &to) const
{
    attempt result{to.stableName(), accountName(), timeLeft(), std::nullopt, m_call.lastEvent};
    const client_account *account = m_admission.account;
    if (m_call.size)
        result.priority = account && account->priority ? *account->priority : m_admission.matched->priority;
    if (m_answer.events() && m_answer.events()->lastEvent())
        result.lastEvent = m_answer.events()->lastEvent();
    result.isResumption = m_resumption->origin().has_value();
    return result;
}

void relayed_call::startAttemptOn(const upstream_record &chosen)
{
    m_choice->recordSent(chosen.id);
    const upstream *listed = m_environment.upstreams.find(chosen.id);
    m_isAtUnconfirmed = listed && listed->isUnconfirmed();
    if (++m_attemptCount == 1)
        m_environment.retries.recordFirstAttempt(m_serviceName);
    if (m_call.size)
        m_environment.work.recordSent(m_serviceName, uncachedTokens());
    m_attempt = std::make_unique<upstream_attempt>(m_environment, m_call, chosen,
                                                   m_environment.selector.tokensToRead(m_call, chosen));
    m_evidence = std::make_unique<attempt_evidence>(m_environment, m_serviceName,
                                                    m_attempt->to().softwareVersion, *m_admission.matched);
    const attempt details = attemptDetails(m_attempt->to());
    if (details.lastEvent)
        m_resumption->logContinuation(m_attempt->to(), *details.lastEvent, m_answer.hasBegun());
    const std::size_t maxConnections
        = m_service ? m_environment.connectionsFor(*m_service) : http::exchange_options().maxConnections;
    // The selection may change while the attempt runs; what held at its start is what counts.
    const std::optional<std::string> selected = selectedVersion();
    m_isDeviating = selected && m_attempt->to().softwareVersion != *selected;
    m_attempt->start(details, maxConnections, *this);
    if (m_isDeviating)
        requestDeviation();
}

std::optional<std::string> relayed_call::selectedVersion() const
{
    if (m_admission.matched->kind != call_kind::resumable_stream)
        return std::nullopt;
    return m_resumption->selectedVersion(m_serviceName);
}

bool relayed_call::awaitsDeviation() const
{
#ifdef IVYPIER_MUTANT_DEVIATION_HOLD
    return false;
#endif
    return m_isDeviating && !m_resumption->isDeviationStored();
}

void relayed_call::requestDeviation()
{
    const std::weak_ptr<relayed_call> weak = weak_from_this();
    m_environment.tasks.after(late_deviation_time, [weak, attemptNumber = m_attemptCount] {
        if (const auto self = weak.lock())
            self->onDeviationLate(attemptNumber);
    });
    if (std::exchange(m_isDeviationRequested, true))
        return;
    m_environment.metrics.add("ivypier_stream_deviations_total", {{"service", m_serviceName}});
    m_resumption->storeDeviation(weak, [this] { onDeviationStored(); });
}

void relayed_call::onDeviationStored()
{
    if (m_completed || !m_hold.isHolding())
        return;
    const auto alive = shared_from_this();
    const held_answer held = m_hold.release();
    beginStream(held.head);
    onBody(held.body);
    if (m_completed || !m_attempt->isRunning())
        return;
    if (held.isEnded)
        onEnd();
    else
        m_attempt->exchange()->resume();
}

/// Sends the call to the selected version, so that the stream need not wait for the platform's table. It
/// waits on if that is not possible.
void relayed_call::onDeviationLate(std::uint32_t attemptNumber)
{
    if (m_completed || attemptNumber != m_attemptCount || !m_attempt->isRunning() || !awaitsDeviation())
        return;
    const std::string selected = selectedVersion().value_or(std::string());
    const bool mayRepeat = !m_isTrial && m_attemptCount < max_attempts_per_call
        && m_possibleRuns < m_admission.matched->attempts && timeLeft() >= min_time_for_retry
        && m_choice->hasUpstreamOf(m_serviceName, selected) && m_environment.retries.take(m_serviceName);
    log_event(log_level::info, "stream.deviation_late")
        .with("request", m_call.id)
        .with("upstream", upstreamId())
        .with("software", m_attempt->to().softwareVersion)
        .with("selected", selected)
        .with("repeated", mayRepeat ? "yes" : "no")
        .write();
    if (!mayRepeat)
        return;
    m_environment.metrics.add("ivypier_repeats_total", {{"service", m_serviceName}});
    if (!m_hold.isHolding())
        ++m_possibleRuns;
    m_mayHaveRun = true;
    abandonAttempt();
    restartAttempt("deviation_not_stored");
}

void relayed_call::endAttempt(bool succeeded)
{
    m_hold.drop();
    if (m_attempt)
        m_attempt->end(succeeded);
}

void relayed_call::abandonAttempt()
{
    if (m_attempt && m_attempt->isRunning())
        m_evidence->recordAbandoned();
    endAttempt(false);
}

void relayed_call::endWithoutUpstream()
{
    if (m_mayHaveRun)
        fail(status_bad_gateway, "no_other_upstream");
    else if (m_choice->wasBoundToSelected())
        refuse(status_service_unavailable, "no_upstream_of_selected_version",
               spreadReturn(m_environment.randomness, retry_after_base));
    else if (m_choice->returnAfter())
        refuse(status_service_unavailable, "upstreams_limited", *m_choice->returnAfter());
    else
        refuse(status_service_unavailable, m_resumption->origin() ? "no_upstream_of_version" : "no_upstream",
               spreadReturn(m_environment.randomness, retry_after_base));
}

bool relayed_call::isQuarantined()
{
    const bool isAllowedTrial = m_isTrial && m_attemptCount == 0;
    return !isAllowedTrial && m_suspicion->isRefused();
}

void relayed_call::endQuarantined()
{
    if (m_mayHaveRun) {
        fail(status_bad_gateway, "crashes_upstreams");
        return;
    }
    m_suspicion->requestTrial([weak = weak_from_this()](bool isGranted) {
        const auto self = weak.lock();
        if (!self || self->m_completed)
            return;
        self->m_isTrial = isGranted;
        // A refused caller gets no time to return: a later call would be refused as well.
        if (isGranted)
            self->startAttempt();
        else
            self->refuse(status_service_unavailable, "crashes_upstreams", duration::zero());
    });
}

bool relayed_call::canRetry()
{
    if (m_isTrial || m_attemptCount >= max_attempts_per_call || timeLeft() < min_time_for_retry)
        return false;
    if (!m_mayHaveRun)
        return true;
    if (m_suspicion->isSuspected())
        return false;
    const route &matched = *m_admission.matched;
    const bool retryable = matched.kind == call_kind::idempotent
        || (matched.kind == call_kind::resumable_stream && m_answer.events() && !m_answer.events()->hasGap());
    return retryable && m_possibleRuns < matched.attempts;
}

bool relayed_call::retryAfterFailure(const char *reason)
{
    if (!canRetry())
        return false;
    if (!m_environment.retries.take(m_serviceName)) {
        m_environment.metrics.add("ivypier_retries_refused_total", {{"service", m_serviceName}});
        return false;
    }
    m_environment.metrics.add("ivypier_repeats_total", {{"service", m_serviceName}});
    restartAttempt(reason);
    return true;
}

bool relayed_call::retryUnsent()
{
    if (!canRetry())
        return false;
    restartAttempt("not_sent");
    return true;
}

void relayed_call::restartAttempt(const char *reason)
{
    logRepeatedCall(m_call, upstreamId(), reason, m_attemptCount,
                    m_environment.retries.stateOf(m_serviceName));
    m_answer.restartStream();
    startAttempt();
}

void relayed_call::onHead(http::response_head head)
{
    const auto alive = shared_from_this();
    const upstream_statement statement = m_environment.protocol.statement(head);
    const std::string id = upstreamId();
    m_environment.upstreams.recordStatement(id, statement);
    m_environment.permits.recordAnswer(id, statement.callsPerSecond);
    switch (m_environment.protocol.classify(head)) {
    case answer_class::not_run:
        handleNotRun(answer_class::not_run);
        return;
    case answer_class::other_instance:
        handleNotRun(answer_class::other_instance);
        return;
    case answer_class::served:
        handleServedHead(std::move(head));
        return;
    case answer_class::failed:
        handleFailedHead(std::move(head), statement.wait.has_value());
        return;
    case answer_class::unsigned_success:
        handleUnusableAnswer("unsigned_success");
        return;
    case answer_class::unattributed:
        handleUnusableAnswer("unattributed_answer");
        return;
    }
}

void relayed_call::handleUnusableAnswer(const char *reason)
{
    m_mayHaveRun = true;
    ++m_possibleRuns;
    m_environment.upstreams.recordFailure(upstreamId());
    m_evidence->recordFailure();
    endAttempt(false);
    if (!retryAfterFailure(reason))
        fail(status_bad_gateway, reason);
}

void relayed_call::handleNotRun(answer_class answer)
{
    const bool moved = answer == answer_class::other_instance;
    if (moved)
        m_environment.upstreams.recordFailure(upstreamId());
    endAttempt(false);
    if (retryAfterFailure(moved ? "other_instance" : "upstream_full"))
        return;
    if (m_mayHaveRun)
        fail(status_bad_gateway, "not_run_after_a_run");
    else
        refuse(status_service_unavailable, "upstreams_full",
               spreadReturn(m_environment.randomness, retry_after_base));
}

void relayed_call::handleServedHead(http::response_head head)
{
    m_attempt->setAnswering();
    m_mayHaveRun = true;
    ++m_possibleRuns;
    m_environment.upstreams.recordSuccess(upstreamId());
    m_attempt->answerEndsWithConnection = head.endsWithConnection;
    if (!m_admission.matched->isStream()) {
        m_attempt->setAnswerBegan();
        countRun();
        m_answer.keepAnswer(std::move(head));
        return;
    }
    m_answer.expectStream(m_call.lastEvent,
                          m_environment.eventNumbering->find(m_serviceName, m_attempt->to().softwareVersion));
    if (awaitsDeviation()) {
        m_hold.hold(std::move(head));
        m_attempt->exchange()->pause();
        return;
    }
    beginStream(head);
}

void relayed_call::beginStream(const http::response_head &head)
{
    m_answer.beginStream(head, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_attempt && self->m_attempt->isRunning())
            self->m_attempt->exchange()->resume();
    });
}

void relayed_call::handleFailedHead(http::response_head head, bool asksToWait)
{
    m_attempt->setAnswering();
    m_mayHaveRun = true;
    ++m_possibleRuns;
    if (!m_admission.matched->isStream())
        countRun();
    if (!asksToWait) {
        m_environment.upstreams.recordFailure(upstreamId());
        m_evidence->recordFailure();
    }
    if (m_answer.hasBegun() || canRetry()) {
        endAttempt(false);
        if (retryAfterFailure("upstream_failed"))
            return;
        fail(status_bad_gateway, "upstream_failed");
        return;
    }
    m_answer.keepAnswer(std::move(head));
}

void relayed_call::onBody(std::string_view data)
{
    const auto alive = shared_from_this();
    if (m_hold.isHolding()) {
        m_hold.append(data);
        return;
    }
    switch (m_answer.take(data, [this] { recordEvents(); })) {
    case answer_delivery::progress::kept:
    case answer_delivery::progress::delivered:
        break;
    case answer_delivery::progress::delivered_too_much:
        m_attempt->exchange()->pause();
        break;
    case answer_delivery::progress::too_large:
        m_environment.upstreams.recordFailure(upstreamId());
        endAttempt(false);
        fail(status_bad_gateway, "answer_too_large");
        break;
    case answer_delivery::progress::broken_stream:
        endBrokenStream();
        break;
    }
}

void relayed_call::onAnswerDropped()
{
    const auto alive = shared_from_this();
    endAttempt(false);
    fail(status_bad_gateway, "answer_buffers_full");
}

void relayed_call::recordEvents()
{
    m_evidence->recordEvents();
    countRun();
    m_attempt->recordEvents(m_answer.events()->lastEvent());
    const time_point beganAt = *m_attempt->answerBeganAt();
    m_attempt->lastEventAt = m_environment.tasks.now();
    const bool hasSurvived = m_environment.tasks.now() - beganAt >= crash_survival_time;
    if (hasSurvived && !std::exchange(m_attempt->isSurvivalRecorded, true))
        m_suspicion->recordSurvival(beganAt);
    const event_scanner &events = *m_answer.events();
    if (events.observedNumbering() && !std::exchange(m_isNumberingRecorded, true))
        m_environment.eventNumbering->record(m_serviceName, m_attempt->to().softwareVersion,
                                             *events.observedNumbering());
    if (!m_resumption->origin() && events.lastEvent() && !events.hasGap() && !events.isBroken())
        m_resumption->record({m_serviceName, knownSoftwareVersion(), upstreamId()},
                             m_admission.matched->kind == call_kind::resumable_stream);
}

std::string relayed_call::knownSoftwareVersion() const
{
    const upstream *at = m_environment.upstreams.find(upstreamId());
    const bool isUnconfirmed = m_isAtUnconfirmed || (at && at->isUnconfirmed());
    return isUnconfirmed ? std::string() : m_attempt->to().softwareVersion;
}

void relayed_call::endBrokenStream()
{
    const bool hasGap = m_answer.events()->hasGap();
    const char *reason = hasGap               ? "missing_event"
        : m_answer.events()->hasForeignText() ? "event_without_number"
                                              : "event_too_long";
    m_environment.upstreams.recordFailure(upstreamId());
    m_evidence->recordFailure();
    endAttempt(false);
    // Events that are missing can't be had from another upstream: the caller has those after the gap.
    if (hasGap || !retryAfterFailure(reason))
        fail(status_bad_gateway, reason);
}

void relayed_call::onEnd()
{
    const auto alive = shared_from_this();
    if (m_hold.isHolding()) {
        m_hold.setEnded();
        return;
    }
    if (!m_answer.isKeepingAnswer()) {
        endStream();
        return;
    }
    if (m_attempt->answerBeganAt()) {
        m_evidence->recordEvents();
        m_suspicion->recordAnswer(upstreamId(), *m_attempt->answerBeganAt(),
                                  m_attempt->answerEndsWithConnection);
    }
    endAttempt(false);
    sendKeptAnswer();
}

void relayed_call::sendKeptAnswer()
{
    const int received = m_answer.keptStatus();
    const int sent = m_answer.sendKept();
    if (sent != received)
        log_event(log_level::warning, "call.status_withheld")
            .with("request", m_call.id)
            .with("upstream", upstreamId())
            .with("status", static_cast<std::int64_t>(received))
            .write();
    complete(sent, sent == received ? "answered" : "status_withheld");
}

const char *relayed_call::endFault() const
{
    const event_scanner *events = m_answer.events();
    if (!events)
        return nullptr;
    if (events->hasPartialEvent())
        return "torn_event";
    // The end of a connection states no end of the stream if nothing came before it.
    return events->awaitsContinuation() && m_attempt->answerEndsWithConnection ? "no_event" : nullptr;
}

void relayed_call::endStream()
{
    if (const char *fault = endFault()) {
        m_suspicion->recordBroken(upstreamId(), m_attempt->answerBeganAt());
        m_evidence->recordFailure();
        endAttempt(false);
        if (!retryAfterFailure(fault))
            fail(status_bad_gateway, fault);
        return;
    }
    if (m_attempt->answerBeganAt())
        m_suspicion->recordAnswer(upstreamId(), *m_attempt->answerBeganAt(),
                                  m_attempt->answerEndsWithConnection);
    endAttempt(true);
    m_answer.finishStream();
    complete(status_ok, "served");
}

void relayed_call::onFailed(const http::exchange_failure &failure)
{
    const auto alive = shared_from_this();
    if (!failure.isConnectionLimit)
        m_environment.upstreams.recordFailure(upstreamId());
    if (failure.stage != http::exchange_stage::not_sent) {
        m_suspicion->recordBroken(upstreamId(), m_attempt->answerBeganAt());
        m_evidence->recordFailure();
        if (!m_mayHaveRun || m_attempt->isUnanswered())
            ++m_possibleRuns;
        m_mayHaveRun = true;
        if (!m_admission.matched->isStream())
            countRun();
    }
    logFailedAttempt(m_call, *m_attempt, m_suspicion->callKey(), failure, m_environment.tasks.now());
    m_answer.drop();
    endAttempt(false);
    const bool isUnsent = failure.stage == http::exchange_stage::not_sent;
    if (isUnsent ? retryUnsent() : retryAfterFailure("sending_failed"))
        return;
    if (m_mayHaveRun)
        fail(status_bad_gateway, "upstream_broke_off");
    else
        refuse(status_service_unavailable, "not_sent",
               spreadReturn(m_environment.randomness, retry_after_base));
}

void relayed_call::countRun()
{
    if (std::exchange(m_runCounted, true))
        return;
    if (m_call.size && m_attemptCount == 1)
        m_environment.work.recordFirstEvent(m_serviceName, uncachedTokens(),
                                            m_environment.tasks.now() - m_attempt->sentAt());
    if (!m_admission.account)
        return;
    m_environment.runs.count(m_admission.account->name, m_environment.wallMilliseconds());
}

void relayed_call::onDeadline()
{
    const auto alive = shared_from_this();
    m_timer.reset();
    abandon(status_gateway_timeout, "time_over", duration::zero());
}

void relayed_call::endForStop()
{
    const auto alive = shared_from_this();
    if (!m_completed && !m_answer.hasBegun())
        abandon(status_bad_gateway, "node_stopping",
                spreadReturn(m_environment.randomness, retry_after_stop));
}

void relayed_call::abandon(int failureStatus, const char *reason, duration retryAfter)
{
    const bool mayHaveRun = m_mayHaveRun || (m_attempt && m_attempt->isRunning());
    abandonAttempt();
    if (mayHaveRun)
        fail(failureStatus, reason);
    else
        refuse(status_service_unavailable, reason, retryAfter);
}

void relayed_call::onCallerDisconnected()
{
    const auto alive = shared_from_this();
    if (m_attempt && m_attempt->isRunning() && m_attempt->lastEventAt)
        m_suspicion->recordLeft(*m_attempt->answerBeganAt(),
                                *m_attempt->lastEventAt - *m_attempt->answerBeganAt());
    abandonAttempt();
    complete(0, "caller_gone");
}

void relayed_call::refuse(int status, const char *reason, duration retryAfter)
{
    if (m_admission.unitsTaken > 0.0)
        m_environment.quota.refund(m_admission.account->name, m_admission.unitsTaken);
    m_answer.sendOwn(status, retryAfter);
    complete(status, reason);
}

void relayed_call::fail(int status, const char *reason)
{
    m_answer.sendOwn(status);
    complete(status, reason);
}

void relayed_call::complete(int status, const char *reason)
{
    if (std::exchange(m_completed, true))
        return;
    const auto alive = shared_from_this();
    if (m_timer)
        m_environment.tasks.cancel(*m_timer);
    if (m_permitRequest)
        m_environment.permits.withdraw(*m_permitRequest);
    const duration elapsed = m_environment.tasks.now() - m_call.receivedAt;
    const std::string routeName = m_admission.matched ? m_admission.matched->name : std::string("none");
    m_environment.metrics.add("ivypier_calls_total", {{"route", routeName}, {"outcome", reason}});
    m_environment.metrics.observe("ivypier_call_seconds", {{"route", routeName}}, seconds(elapsed));
    logCallEnd(
        m_call,
        {status, reason, routeName, upstreamId(), m_attemptCount, elapsed, m_table ? m_table->version() : 0});
    m_answer.close();
    m_onCompleted(alive);
}

} // namespace ivypier::relay
