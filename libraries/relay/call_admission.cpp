#include "relay/call_admission.h"

#include "base/log_event.h"
#include "base/status_codes.h"
#include "relay/return_time.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// Longest time that a call may take.
constexpr duration max_call_time = std::chrono::minutes(10);

call_admission refused(call_admission admission, int status, const char *reason,
                       duration returnAfter = duration::zero())
{
    admission.refusalStatus = status;
    admission.reason = reason;
    admission.returnAfter = returnAfter;
    return admission;
}

/// Draws one of the services to which a route leads, by their weights.
std::string selectService(const route &of, random_source &randomness)
{
    std::uint32_t total = 0;
    for (const route_target &each : of.targets)
        total += each.weight;
    if (total == 0)
        return of.targets.empty() ? std::string() : of.targets.front().service;
    auto drawn = static_cast<std::uint32_t>(randomness.index(total));
    for (const route_target &each : of.targets) {
        if (drawn < each.weight)
            return each.service;
        drawn -= each.weight;
    }
    return {};
}

time_point deadlineOf(const call &request, const route &matched)
{
    duration allowed = request.callerTimeout.value_or(max_call_time);
    if (matched.timeout > duration::zero())
        allowed = std::min(allowed, matched.timeout);
    return request.receivedAt + std::min(allowed, max_call_time);
}

double unitsOf(const call &request, const client_account &account)
{
    if (!account.countsTokens)
        return 1.0;
    return request.size ? static_cast<double>(request.size->promptTokens + request.size->answerTokens)
                        : account.unitsWithoutUsage;
}

/// Counts a call that was checked against its account's limit.
void countCall(const call_environment &environment, const std::string &account, std::uint32_t priority,
               const char *outcome)
{
    environment.metrics.add(
        "ivypier_account_calls_total",
        {{"account", account}, {"priority", std::to_string(priority)}, {"outcome", outcome}});
}

void logOverLimit(const call_environment &environment, const call &request, const client_account &account,
                  double units, std::uint32_t priority, duration wait)
{
    const quota_state state = environment.quota.stateOf(account.name);
    log_event(log_level::info, "call.over_limit")
        .with("request", request.id)
        .with("account", account.name)
        .with("units", units)
        .with("priority", static_cast<std::int64_t>(priority))
        .with("bucket", state.fleetUnits)
        .with("probability", state.admissionProbability)
        .with("others_per_second", state.remoteUnitsPerSecond)
        .with("report_age_ms", milliseconds(state.reportAge))
        .with("silent_nodes", state.silentFraction)
        .with("cut_off", state.isCutOff ? "yes" : "no")
        .with("wait_ms", milliseconds(wait))
        .write();
}

} // namespace

call_admission call_admission::decide(call_environment &environment, const route_table *table,
                                      const call &request)
{
    call_admission result;
    random_source &randomness = environment.randomness;
    if (!table)
        return refused(result, status_service_unavailable, "no_configuration",
                       spreadReturn(randomness, retry_after_base));
    const std::string_view target = request.target;
    result.matched = table->findRoute(request.host, target.substr(0, target.find('?')));
    if (!result.matched)
        return refused(result, status_not_found, "no_route");
    if (result.matched->requiresKey && table->hasAccounts()) {
        result.account = table->findAccount(request.key);
        if (!result.account)
            return refused(result, status_unauthorized, "unknown_key");
    }
    result.deadline = deadlineOf(request, *result.matched);
    if (result.deadline <= environment.tasks.now())
        return refused(result, status_service_unavailable, "no_time_left");
    result.service = selectService(*result.matched, randomness);
    if (!result.account)
        return result;
    const double units = unitsOf(request, *result.account);
    // A call without a prompt takes no room of an engine, so nothing more urgent needs its units.
    const std::uint32_t priority
        = request.size ? result.account->priority.value_or(result.matched->priority) : 0;
    const duration wait = environment.quota.take(result.account->name, units, priority);
    if (wait > duration::zero()) {
        logOverLimit(environment, request, *result.account, units, priority, wait);
        countCall(environment, result.account->name, priority, "refused");
        return refused(result, status_too_many_requests, "account_limit", spreadReturn(randomness, wait));
    }
    countCall(environment, result.account->name, priority, "admitted");
    result.unitsTaken = units;
    return result;
}

} // namespace ivypier::relay
