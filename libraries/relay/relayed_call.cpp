#include "relay/relayed_call.h"

#include "base/log_event.h"
#include "base/status_codes.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace ivypier::relay {

namespace {

/// Sendings of one call, also those that were not run.
constexpr std::uint32_t sending_limit = 4;
/// With less time left, another sending can't be of use.
constexpr duration least_time_to_repeat = std::chrono::milliseconds(40);
/// A caller is told to come back after about this time when no upstream took its call, and after twice as
/// much at most, so that callers don't return together.
constexpr duration retry_pause = std::chrono::milliseconds(250);
/// Bytes that wait for a slow caller before the upstream is read no further.
constexpr std::size_t unsent_limit = std::size_t{256} * 1024;
/// Longest answer that is collected before it is passed on.
constexpr std::size_t collected_limit = std::size_t{4} * 1024 * 1024;

std::string secondsText(duration value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", seconds(value));
    return text.data();
}

} // namespace

relayed_call::relayed_call(call_environment &environment, std::shared_ptr<const route_table> table,
                           call message, std::shared_ptr<http::reply> caller, ended onEnded)
    : m_environment(environment)
    , m_table(std::move(table))
    , m_call(std::move(message))
    , m_caller(std::move(caller))
    , m_onEnded(std::move(onEnded))
{
}

duration relayed_call::timeLeft() const
{
    return m_endsAt - m_environment.tasks.now();
}

void relayed_call::start()
{
    m_caller->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    if (!admit())
        return;
    m_timer = m_environment.tasks.after(timeLeft(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimeOver();
    });
    send();
}

bool relayed_call::admit()
{
    if (!m_table) {
        refuse(status_service_unavailable, "no_configuration", retry_pause);
        return false;
    }
    const std::string_view target = m_call.target;
    m_route = m_table->findRoute(m_call.host, target.substr(0, target.find('?')));
    if (!m_route) {
        refuse(status_not_found, "no_route", duration::zero());
        return false;
    }
    if (m_route->needsKey && m_table->hasAccounts()) {
        m_account = m_table->findAccount(m_call.key);
        if (!m_account) {
            refuse(status_unauthorized, "unknown_key", duration::zero());
            return false;
        }
    }
    constexpr duration longest = std::chrono::minutes(10);
    duration allowed = m_call.patience.value_or(longest);
    if (m_route->timeout > duration::zero())
        allowed = std::min(allowed, m_route->timeout);
    m_endsAt = m_call.receivedAt + std::min(allowed, longest);
    if (timeLeft() <= duration::zero()) {
        refuse(status_service_unavailable, "no_time_left", duration::zero());
        return false;
    }
    m_serviceName = pickService();
    m_service = m_table->content().findService(m_serviceName);
    if (!m_account)
        return true;
    double units = 1.0;
    if (m_account->countsTokens)
        units = m_call.size ? static_cast<double>(choice_question{m_route, &m_call, m_serviceName, {}}.work())
                            : m_account->unitsWithoutUsage;
    const duration wait = m_environment.quota.take(m_account->name, units);
    if (wait > duration::zero()) {
        refuse(status_too_many_requests, "account_limit", wait);
        return false;
    }
    m_unitsTaken = units;
    return true;
}

std::string relayed_call::pickService() const
{
    std::uint32_t total = 0;
    for (const route_target &each : m_route->targets)
        total += each.weight;
    if (total == 0)
        return m_route->targets.empty() ? std::string() : m_route->targets.front().service;
    auto drawn = static_cast<std::uint32_t>(m_environment.randomness.index(total));
    for (const route_target &each : m_route->targets) {
        if (drawn < each.weight)
            return each.service;
        drawn -= each.weight;
    }
    return {};
}

void relayed_call::send()
{
    const choice_question question{m_route, &m_call, m_serviceName, m_tried};
    const std::optional<std::string> id = m_environment.choice.choose(question);
    const upstream *chosen = id ? m_environment.upstreams.find(*id) : nullptr;
    if (chosen) {
        sendTo(*chosen);
        return;
    }
    if (m_mayHaveRun)
        fail(status_bad_gateway, "no_other_upstream");
    else
        refuse(status_service_unavailable, "no_upstream", retry_pause);
}

void relayed_call::sendTo(const upstream &chosen)
{
    m_upstream = chosen.record.id;
    m_tried.insert(m_upstream);
    ++m_sendings;
    if (m_sendings == 1)
        m_environment.repeats.noteFirst(m_serviceName);
    m_unreadTokens = m_call.size ? newTokens() : 0;
    if (m_call.size)
        m_environment.work.sent(m_serviceName, m_unreadTokens);
    m_sentAt = m_environment.tasks.now();
    m_sending = sending::sent;
    attempt how{m_upstream, m_account ? m_account->name : std::string(), timeLeft(), std::nullopt,
                m_call.lastEvent};
    if (m_call.size)
        how.priority = m_account && m_account->priority ? *m_account->priority : m_route->priority;
    if (m_scanner && m_scanner->lastEvent())
        how.lastEvent = m_scanner->lastEvent();
    m_environment.upstreams.callBegins(m_upstream, m_unreadTokens);
    http::exchange_options options;
    if (m_service)
        options.connections = m_environment.connectionsFor(*m_service);
    options.headOnly = m_call.method == "HEAD";
    options.isOwnAnswer
        = [this](const http::response_head &head) { return m_environment.protocol.isAnswerTo(m_call, head); };
    m_exchange = m_environment.transport.start(
        chosen.record.address, m_environment.protocol.encode(m_call, how), std::move(options), *this);
}

void relayed_call::endSending(bool succeeded)
{
    if (m_sending == sending::none)
        return;
    m_sending = sending::none;
    m_exchange.reset();
    m_environment.upstreams.callEnds(m_upstream, m_unreadTokens);
    if (succeeded)
        m_environment.upstreams.succeeded(m_upstream);
}

bool relayed_call::mayRepeat() const
{
    if (m_sendings >= sending_limit || timeLeft() < least_time_to_repeat)
        return false;
    if (!m_mayHaveRun)
        return true;
    const bool repeatable = m_route->kind == call_kind::idempotent
        || (m_route->kind == call_kind::resumable_stream && m_scanner && !m_scanner->hasGap());
    return repeatable && m_runs < m_route->attempts;
}

bool relayed_call::repeatAfter(const char *reason)
{
    if (!mayRepeat() || !m_environment.repeats.take(m_serviceName))
        return false;
    log_event(log_level::info, "call.repeated")
        .with("request", m_call.id)
        .with("upstream", m_upstream)
        .with("reason", reason)
        .with("sendings", static_cast<std::int64_t>(m_sendings))
        .write();
    m_environment.metrics.add("ivypier_repeats_total", {{"service", m_serviceName}});
    if (m_scanner)
        m_scanner->restart();
    send();
    return true;
}

void relayed_call::onHead(http::response_head head)
{
    const auto alive = shared_from_this();
    switch (m_environment.protocol.meaning(head)) {
    case answer_meaning::not_run:
        takeNotRun(answer_meaning::not_run);
        return;
    case answer_meaning::other_instance:
        takeNotRun(answer_meaning::other_instance);
        return;
    case answer_meaning::served:
        takeServedHead(std::move(head));
        return;
    case answer_meaning::failed:
        takeFailedHead(std::move(head));
        return;
    case answer_meaning::unsigned_success:
        m_mayHaveRun = true;
        ++m_runs;
        m_environment.upstreams.failed(m_upstream);
        endSending(false);
        if (!repeatAfter("unsigned_success"))
            fail(status_bad_gateway, "unsigned_success");
        return;
    }
}

void relayed_call::takeNotRun(answer_meaning meaning)
{
    const bool moved = meaning == answer_meaning::other_instance;
    if (moved)
        m_environment.upstreams.failed(m_upstream);
    endSending(false);
    if (repeatAfter(moved ? "other_instance" : "upstream_full"))
        return;
    if (m_mayHaveRun)
        fail(status_bad_gateway, "not_run_after_a_run");
    else
        refuse(status_service_unavailable, "upstreams_full", retry_pause);
}

void relayed_call::takeServedHead(http::response_head head)
{
    m_sending = sending::answering;
    m_mayHaveRun = true;
    ++m_runs;
    m_environment.upstreams.succeeded(m_upstream);
    if (!m_route->isStream()) {
        countRun();
        m_head = std::move(head);
        return;
    }
    if (!m_scanner)
        m_scanner.emplace(m_call.lastEvent);
    if (m_begun)
        return;
    m_begun = true;
    m_caller->begin(head.status, m_environment.protocol.answerFields(head));
    m_caller->onSent([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_exchange)
            self->m_exchange->resume();
    });
}

void relayed_call::takeFailedHead(http::response_head head)
{
    m_sending = sending::answering;
    m_mayHaveRun = true;
    ++m_runs;
    if (!m_route->isStream())
        countRun();
    m_environment.upstreams.failed(m_upstream);
    if (m_begun || mayRepeat()) {
        endSending(false);
        if (repeatAfter("upstream_failed"))
            return;
        fail(status_bad_gateway, "upstream_failed");
        return;
    }
    m_head = std::move(head);
}

void relayed_call::onBody(std::string_view piece)
{
    const auto alive = shared_from_this();
    if (!m_head) {
        passOn(piece);
        return;
    }
    m_body.append(piece);
    if (m_body.size() <= collected_limit)
        return;
    endSending(false);
    fail(status_bad_gateway, "answer_too_large");
}

void relayed_call::passOn(std::string_view bytes)
{
    const std::string events = m_scanner->feed(bytes);
    if (events.empty())
        return;
    notePromptRead();
    countRun();
    if (m_scanner->hasGap() || m_scanner->isBroken()) {
        m_environment.upstreams.failed(m_upstream);
        endSending(false);
        fail(status_bad_gateway, "broken_stream");
        return;
    }
    m_caller->write(events);
    if (m_caller->unsentBytes() > unsent_limit)
        m_exchange->pause();
}

void relayed_call::onEnd()
{
    const auto alive = shared_from_this();
    if (!m_head) {
        const bool torn = m_scanner && m_scanner->hasPartialEvent();
        endSending(!torn);
        if (torn) {
            if (!repeatAfter("torn_event"))
                fail(status_bad_gateway, "torn_event");
            return;
        }
        m_caller->finish();
        leave(status_ok, "served");
        return;
    }
    endSending(false);
    m_caller->send(m_head->status, m_environment.protocol.answerFields(*m_head), m_body);
    leave(m_head->status, "answered");
}

void relayed_call::onFailed(const http::exchange_failure &failure)
{
    const auto alive = shared_from_this();
    m_environment.upstreams.failed(m_upstream);
    if (failure.stage != http::exchange_stage::not_sent) {
        if (!m_mayHaveRun || m_sending == sending::sent)
            ++m_runs;
        m_mayHaveRun = true;
        if (!m_route->isStream())
            countRun();
    }
    log_event(log_level::warning, "call.sending_failed")
        .with("request", m_call.id)
        .with("upstream", m_upstream)
        .with("sent", failure.stage == http::exchange_stage::not_sent ? "no" : "yes")
        .with("after_ms", milliseconds(m_environment.tasks.now() - m_sentAt))
        .with("reason", failure.reason)
        .write();
    m_head.reset();
    m_body.clear();
    endSending(false);
    if (repeatAfter("sending_failed"))
        return;
    if (m_mayHaveRun)
        fail(status_bad_gateway, "upstream_broke_off");
    else
        refuse(status_service_unavailable, "not_sent", retry_pause);
}

void relayed_call::notePromptRead()
{
    if (m_unreadTokens > 0)
        m_environment.upstreams.promptRead(m_upstream, std::exchange(m_unreadTokens, 0));
}

void relayed_call::countRun()
{
    if (std::exchange(m_runCounted, true))
        return;
    if (m_call.size && m_sendings == 1)
        m_environment.work.firstEvent(m_serviceName, newTokens(), m_environment.tasks.now() - m_sentAt);
    if (!m_account)
        return;
    m_environment.runs.count(m_account->name, m_environment.wallMilliseconds());
}

std::uint64_t relayed_call::newTokens() const
{
    // The parts before the last are shared, and mostly cached where the call is sent.
    return m_call.size->parts.empty() ? m_call.size->promptTokens : m_call.size->parts.back().tokens;
}

void relayed_call::onTimeOver()
{
    const auto alive = shared_from_this();
    m_timer.reset();
    const bool mayHaveRun = m_mayHaveRun || m_sending != sending::none;
    endSending(false);
    if (mayHaveRun)
        fail(status_gateway_timeout, "time_over");
    else
        refuse(status_service_unavailable, "time_over", duration::zero());
}

void relayed_call::onCallerGone()
{
    const auto alive = shared_from_this();
    endSending(false);
    leave(0, "caller_gone");
}

void relayed_call::refuse(int status, const char *reason, duration retryAfter)
{
    if (m_unitsTaken > 0.0 && m_account)
        m_environment.quota.giveBack(m_account->name, m_unitsTaken);
    if (m_begun) {
        fail(status, reason);
        return;
    }
    http::field_list fields;
    if (retryAfter > duration::zero()) {
        const double spread = 1.0 + m_environment.randomness.uniform();
        fields.add("Retry-After", secondsText(fromSeconds(seconds(retryAfter) * spread)));
    }
    m_caller->send(status, fields, {});
    leave(status, reason);
}

void relayed_call::fail(int status, const char *reason)
{
    // An answer that has begun ends with its connection, so that it does not look complete.
    if (!m_begun)
        m_caller->send(status, {}, {});
    leave(status, reason);
}

void relayed_call::leave(int status, const char *reason)
{
    if (std::exchange(m_ended, true))
        return;
    const auto alive = shared_from_this();
    if (m_timer)
        m_environment.tasks.cancel(*m_timer);
    const duration took = m_environment.tasks.now() - m_call.receivedAt;
    const std::string routeName = m_route ? m_route->name : std::string("none");
    m_environment.metrics.add("ivypier_calls_total", {{"route", routeName}, {"outcome", reason}});
    m_environment.metrics.observe("ivypier_call_seconds", {{"route", routeName}}, seconds(took));
    const bool ordinary = status >= status_ok && status < 300;
    log_event(ordinary ? log_level::debug : log_level::info, "call.ended")
        .with("request", m_call.id)
        .with("route", routeName)
        .with("status", static_cast<std::int64_t>(status))
        .with("outcome", reason)
        .with("upstream", m_upstream)
        .with("sendings", static_cast<std::int64_t>(m_sendings))
        .with("ms", milliseconds(took))
        .with("configuration", static_cast<std::int64_t>(m_table ? m_table->version() : 0))
        .write();
    m_caller->onClosed(nullptr);
    m_caller.reset();
    m_onEnded(alive);
}

} // namespace ivypier::relay
