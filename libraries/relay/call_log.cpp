#include "relay/call_log.h"

#include "base/hash.h"
#include "base/log_event.h"
#include "base/status_codes.h"

namespace ivypier::relay {

namespace {

/// Returns the parts of a prompt that other prompts may share: all but the last, as hexadecimal numbers.
std::string sharedPartsText(const call &request)
{
    constexpr std::size_t maxParts = 8;
    std::string result;
    const std::size_t count = request.size ? request.size->parts.size() : 0;
    for (std::size_t index = 0; index + 1 < count && index < maxParts; ++index)
        result.append(result.empty() ? "" : ",").append(toHex(request.size->parts[index].id));
    return result;
}

} // namespace

void logCallEnd(const call &request, const call_end &end)
{
    constexpr int firstRedirection = 300;
    const bool isServed = end.status >= status_ok && end.status < firstRedirection;
    log_event(isServed ? log_level::debug : log_level::info, "call.ended")
        .with("request", request.id)
        .with("route", end.route)
        .with("status", static_cast<std::int64_t>(end.status))
        .with("outcome", end.outcome)
        .with("upstream", end.upstream)
        .with("sendings", static_cast<std::int64_t>(end.attempts))
        .with("ms", milliseconds(end.elapsed))
        .with("configuration", static_cast<std::int64_t>(end.configuration))
        .write();
}

void logFailedAttempt(const call &request, const upstream_attempt &failed, crash_key callKey,
                      const http::exchange_failure &failure, time_point now)
{
    const auto beganAt = failed.answerBeganAt();
    log_event(log_level::warning, "call.sending_failed")
        .with("request", request.id)
        .with("upstream", failed.to().id)
        .with("sent", failure.stage == http::exchange_stage::not_sent ? "no" : "yes")
        .with("after_ms", milliseconds(now - failed.sentAt()))
        .with("answering_ms", beganAt ? milliseconds(now - *beganAt) : -1)
        .with("parts", sharedPartsText(request))
        .with("same_calls", toHex(callKey.value))
        .with("reason", failure.reason)
        .write();
}

void logRepeatedCall(const call &request, const std::string &upstream, const char *reason,
                     std::uint32_t attempts, const retry_budget_state &budget)
{
    log_event(log_level::info, "call.repeated")
        .with("request", request.id)
        .with("upstream", upstream)
        .with("reason", reason)
        .with("sendings", static_cast<std::int64_t>(attempts))
        .with("first_attempts", budget.firstAttempts)
        .with("retries", budget.retries)
        .with("ratio", budget.ratio)
        .with("slack", budget.slack)
        .write();
}

} // namespace ivypier::relay
