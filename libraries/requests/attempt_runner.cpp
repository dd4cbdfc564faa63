#include "requests/attempt_runner.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/status_codes.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace ivypier::requests {

namespace {

/// Retry-After for requests that found no usable upstream.
constexpr duration default_retry_after = std::chrono::seconds(1);

std::string_view name(recompute_cause cause)
{
    switch (cause) {
    case recompute_cause::none:
        return "none";
    case recompute_cause::runner_leaving:
        return "runner_leaving";
    case recompute_cause::engine_failed:
        return "engine_failed";
    case recompute_cause::handover:
        return "handover";
    }
    return "none";
}

/// Returns the result of a request that no upstream answered.
final_answer failureAnswer(const request_record &record, std::string cause)
{
    const bool mayHaveRun = record.mayHaveRun;
    final_answer answer{.status = mayHaveRun ? status_bad_gateway : status_service_unavailable};
    answer.outcome = mayHaveRun ? request_outcome::unknown : request_outcome::not_run;
    answer.cause = std::move(cause);
    answer.retryAfter = default_retry_after;
    return answer;
}

} // namespace

routing::routing_request makeRoutingRequest(const request_record &record)
{
    routing::routing_request request;
    request.service = record.request.service.name;
    request.account = record.request.account;
    request.conversation = record.request.conversation;
    request.promptTokens = record.request.promptTokens;
    request.outputTokens = record.request.outputTokens;
    request.prefixes = record.request.prefixes.digests;
    request.prefixTokens = record.request.prefixes.tokens;
    request.excluded = record.excluded;
    return request;
}

metric_labels metricLabelsOf(const request_record &record)
{
    return {{"account", record.request.account},
            {"class", record.request.requestClass.name},
            {"service", record.request.service.name}};
}

duration timeRemaining(const request_record &record, time_point now)
{
    return std::max(duration::zero(), record.acceptedAt + record.request.timeout - now);
}

/// Forwards an engine's events together with the id of the attempt that they belong to.
class attempt_runner::attempt_observer final : public upstream::generation_observer
{
public:
    attempt_observer(attempt_runner &owner, record_pointer record, std::string attempt)
        : m_owner(owner)
        , m_record(std::move(record))
        , m_attempt(std::move(attempt))
    {
    }

    void onStarted(const std::string &stream) override
    {
        m_owner.handleStarted(m_record, m_attempt, stream);
    }

    void onToken(std::uint64_t index, const std::string &text) override
    {
        m_owner.handleToken(m_record, m_attempt, index, text);
    }

    void onFinished(const upstream::token_usage &usage) override
    {
        m_owner.handleFinished(m_record, m_attempt, usage);
    }

    void onFailed(const error &failure) override
    {
        m_owner.handleFailure(m_record, m_attempt, failure);
    }

private:
    attempt_runner &m_owner;
    record_pointer m_record;
    std::string m_attempt;
};

attempt_runner::attempt_runner(attempt_runner_dependencies dependencies)
    : m_dependencies(dependencies)
    , m_costs(dependencies.tasks)
{
}

void attempt_runner::dispatch(const record_pointer &record)
{
    if (!record->isOpen() || record->handover != handover_phase::none)
        return;
    const outcome<routing::routing_choice> choice = m_dependencies.router.choose(makeRoutingRequest(*record));
    if (!choice) {
        m_dependencies.owner.finish(record, failureAnswer(*record, "no_upstream"));
        return;
    }
    beginAttempt(record, choice.value().target, record->attempt.recompute);
    if (record->request.service.kind == configuration::service_kind::model)
        sendToEngine(record, "");
    else
        sendToPlainService(record);
}

void attempt_runner::beginAttempt(const record_pointer &record, const routing::candidate &target,
                                  recompute_cause cause)
{
    const unsigned number = record->attempt.number + 1;
    record->attempt = {.number = number, .target = target, .sentAt = m_dependencies.tasks.now()};
    record->attempt.recompute = cause;
    record->attempt.id
        = record->request.id.key() + '/' + toHex(m_dependencies.self) + '/' + std::to_string(number);
    if (number == 1)
        m_dependencies.retries.dispatched(record->request.service.name);
    m_dependencies.router.dispatched(target.address, record->attempt.id, makeRoutingRequest(*record));
    m_costs.recordStart(record->attempt.id, target.address, target.pricePerHour);
}

void attempt_runner::sendToEngine(const record_pointer &record, const std::string &cacheHandle)
{
    upstream::generation_request message;
    message.attempt = record->attempt.id;
    message.body = record->request.body;
    message.priority = record->request.requestClass.priority;
    message.deliveredTokens = record->chunks.size();
    for (const std::string &chunk : record->chunks)
        message.delivered += chunk;
    message.cacheHandle = cacheHandle;
    record->attempt.generation
        = m_dependencies.engines.start(record->attempt.target.address, message,
                                       std::make_shared<attempt_observer>(*this, record, message.attempt));
}

void attempt_runner::resume(const record_pointer &record, const routing::candidate &target,
                            const std::string &stream)
{
    beginAttempt(record, target, recompute_cause::none);
    record->attempt.stream = stream;
    record->attempt.resumed = true;
    record->mayHaveRun = true;
    record->attempt.generation = m_dependencies.engines.resume(
        target.address, stream, record->attempt.id, record->chunks.size(),
        std::make_shared<attempt_observer>(*this, record, record->attempt.id));
}

void attempt_runner::sendToPlainService(const record_pointer &record)
{
    upstream::plain_call call;
    call.attempt = record->attempt.id;
    call.requestId = record->key;
    call.method = record->request.method;
    call.path = record->request.path;
    call.query = record->request.query;
    call.contentType = record->request.contentType;
    call.body = record->request.body;
    call.callRepeatability
        = record->request.repeatable ? http::repeatability::repeatable : http::repeatability::not_repeatable;
    call.timeout = timeRemaining(*record, m_dependencies.tasks.now());
    m_dependencies.services.call(
        record->attempt.target.address, call,
        [this, record, attempt = call.attempt](const outcome<http::response> &answer) {
            handlePlainResponse(record, attempt, answer);
        });
}

void attempt_runner::moveStreams(const endpoint &upstream, const std::vector<record_pointer> &records)
{
    for (const record_pointer &record : records) {
        const request_attempt &attempt = record->attempt;
        const bool isMovable = record->isOpen() && record->handover == handover_phase::none
            && record->request.repeatable && !attempt.id.empty() && !attempt.stream.empty();
        if (!isMovable || attempt.target.address != upstream)
            continue;
        m_dependencies.engines.exportCache(
            upstream, attempt.stream, [this, record, id = attempt.id](const outcome<std::string> &handle) {
                const bool isSameAttempt = record->isOpen() && record->attempt.id == id
                    && record->handover == handover_phase::none;
                if (isSameAttempt)
                    moveStream(record, handle ? handle.value() : std::string());
            });
    }
}

void attempt_runner::moveStream(const record_pointer &record, const std::string &cacheHandle)
{
    routing::routing_request rerouted = makeRoutingRequest(*record);
    rerouted.excluded.push_back(record->attempt.target.address);
    const outcome<routing::routing_choice> choice = m_dependencies.router.choose(rerouted);
    if (!choice) // the leaving upstream may still finish the stream
        return;
    log_event(log_level::info, "attempt.moved")
        .with("request", record->key)
        .with("from", record->attempt.target.name)
        .with("to", choice.value().target.name)
        .with("with_cache", cacheHandle.empty() ? "false" : "true")
        .write();
    m_dependencies.metrics.add("ivypier_moved_streams_total",
                               {{"with_cache", cacheHandle.empty() ? "no" : "yes"}});
    cancel(*record);
    beginAttempt(record, choice.value().target, recompute_cause::runner_leaving);
    sendToEngine(record, cacheHandle);
}

void attempt_runner::cancel(request_record &record)
{
    if (record.attempt.generation)
        record.attempt.generation->cancel();
    if (!record.attempt.id.empty())
        endAttempt(record, routing::attempt_result::cancelled);
    record.attempt.id.clear();
    record.attempt.generation.reset();
}

void attempt_runner::release(request_record &record)
{
    if (record.attempt.generation && !record.attempt.stream.empty()) {
        record.attempt.generation->detach();
        record.attempt.generation.reset();
    }
    cancel(record);
}

void attempt_runner::endAttempt(request_record &record, routing::attempt_result result)
{
    m_dependencies.router.finished(record.attempt.id, result);
    record.cost += m_costs.recordEnd(record.attempt.id);
}

bool attempt_runner::isCurrent(const request_record &record, const std::string &attempt)
{
#ifdef IVYPIER_MUTANT_ATTEMPT_CHECK
    return record.isOpen();
#endif
    if (record.isOpen() && record.attempt.id == attempt)
        return true;
    m_dependencies.metrics.add("ivypier_late_events_total", {});
    return false;
}

void attempt_runner::handleStarted(const record_pointer &record, const std::string &attempt,
                                   const std::string &stream)
{
    if (!isCurrent(*record, attempt))
        return;
    record->attempt.stream = stream;
    record->mayHaveRun = true;
}

void attempt_runner::handleToken(const record_pointer &record, const std::string &attempt,
                                 std::uint64_t index, const std::string &text)
{
    // A resumed stream may repeat delivered tokens.
    if (!isCurrent(*record, attempt) || index < record->chunks.size())
        return;
    if (index > record->chunks.size()) {
        handleFailure(record, attempt, {error_code::interrupted, "the stream has a gap"});
        return;
    }
    const time_point now = m_dependencies.tasks.now();
    if (record->chunks.empty()) {
        m_dependencies.metrics.observe("ivypier_first_token_seconds", metricLabelsOf(*record),
                                       seconds(now - record->acceptedAt));
        m_dependencies.router.firstToken(attempt, now - record->attempt.sentAt);
    } else if (record->lastChunkAt != time_point{}) {
        m_dependencies.metrics.observe("ivypier_between_tokens_seconds", metricLabelsOf(*record),
                                       seconds(now - record->lastChunkAt));
    }
    record->lastChunkAt = now;
    record->chunks.push_back(text);
    for (listener_position &each : record->listeners) {
        if (each.next != index)
            continue;
        ++each.next;
        each.listener->onChunk(index, text);
    }
}

void attempt_runner::handleFinished(const record_pointer &record, const std::string &attempt,
                                    const upstream::token_usage &usage)
{
    if (!isCurrent(*record, attempt))
        return;
    endAttempt(*record, routing::attempt_result::answered);
    const recompute_cause cause = record->attempt.recompute;
    if (cause != recompute_cause::none && usage.promptTokens > usage.cachedTokens)
        m_dependencies.metrics.add("ivypier_recomputed_tokens_total", {{"cause", std::string(name(cause))}},
                                   static_cast<double>(usage.promptTokens - usage.cachedTokens));
    final_answer answer{.outcome = request_outcome::answered};
    answer.usage = usage;
    answer.usage.generatedTokens = record->chunks.size();
    answer.servedBy = record->attempt.target.name;
    m_dependencies.owner.finish(record, std::move(answer));
}

void attempt_runner::handlePlainResponse(const record_pointer &record, const std::string &attempt,
                                         const outcome<http::response> &answer)
{
    if (!answer) {
        handleFailure(record, attempt, answer.error());
        return;
    }
    if (!isCurrent(*record, attempt))
        return;
    endAttempt(*record, routing::attempt_result::answered);
    // The service has run the request; with some statuses a caller would take it for not run.
    const int received = answer.value().status;
    final_answer result{.outcome = request_outcome::answered,
                        .status = promisesNotProcessed(received) ? status_bad_gateway : received};
    result.contentType = answer.value().header("Content-Type");
    result.body = answer.value().body;
    result.servedBy = record->attempt.target.name;
    m_dependencies.owner.finish(record, std::move(result));
}

void attempt_runner::handleFailure(const record_pointer &record, const std::string &attempt,
                                   const error &failure)
{
    if (!isCurrent(*record, attempt))
        return;
    endAttempt(*record, routing::attempt_result::failed);
    record->excluded.push_back(record->attempt.target.address);
    if (record->handover == handover_phase::offered && record->attempt.generation)
        // A successor that resumes the stream ends it here; it must not be cancelled.
        record->attempt.generation->detach();
    else if (record->attempt.generation)
        record->attempt.generation->cancel();
    record->attempt.id.clear();
    record->attempt.stream.clear();
    record->attempt.generation.reset();
    log_event(log_level::warning, "attempt.failed")
        .with("request", record->key)
        .with("upstream", record->attempt.target.name)
        .with("reason", ivypier::name(failure.code))
        .with("detail", failure.message)
        .write();
    // The upstream did not run the request if it refused it or if no connection was established.
    if (failure.code != error_code::unavailable && failure.code != error_code::refused)
        record->mayHaveRun = true;
    const recompute_cause cause
        = record->attempt.resumed ? recompute_cause::handover : recompute_cause::engine_failed;
    if (record->handover == handover_phase::none)
        retryOrFinish(record, cause);
}

void attempt_runner::retryOrFinish(const record_pointer &record, recompute_cause cause)
{
    record->attempt.recompute = record->mayHaveRun ? cause : recompute_cause::none;
    if (!record->request.repeatable && record->mayHaveRun) {
        m_dependencies.owner.finish(record, failureAnswer(*record, "upstream_failed"));
        return;
    }
    if (cause == recompute_cause::handover) { // caused by this system, so not charged to the retry budget
        dispatch(record);
        return;
    }
    const auto delay
        = m_dependencies.retries.retryDelay(record->request.service.name, record->attempt.number + 1,
                                            timeRemaining(*record, m_dependencies.tasks.now()));
    if (!delay) {
        m_dependencies.owner.finish(record, failureAnswer(*record, "upstream_failed"));
        return;
    }
    m_dependencies.metrics.add("ivypier_retries_total", {{"service", record->request.service.name}});
    m_dependencies.tasks.after(*delay, [this, record] {
        if (record->attempt.id.empty())
            dispatch(record);
    });
}

} // namespace ivypier::requests
