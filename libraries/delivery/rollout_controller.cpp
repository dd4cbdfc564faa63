#include "delivery/rollout_controller.h"

#include "base/log_event.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ivypier::delivery {

rollout_controller::rollout_controller(scheduler &tasks, cloud::table_service &table,
                                       rollout_status_table &statusTable, announcer announce)
    : m_tasks(tasks)
    , m_table(table)
    , m_statusTable(statusTable)
    , m_announce(std::move(announce))
{
}

void rollout_controller::setLimits(rollout_limits limits)
{
    m_limits = limits;
}

void rollout_controller::setOrders(const std::vector<rollout_order> &orders)
{
    std::set<std::string> services;
    for (const rollout_order &each : orders)
        services.insert(each.service);
    for (auto &[service, current] : m_rollouts) {
        if (services.contains(service) || current.state != rollout_state::in_progress)
            continue;
        log_event(log_level::info, "rollout.withdrawn")
            .with("service", service)
            .with("target", current.order.targetVersion)
            .write();
        current.share = 0.0;
        if (m_tenure && current.isRecordTaken)
            announce(current);
    }
    std::erase_if(m_rollouts, [&](const auto &each) { return !services.contains(each.first); });
    for (const rollout_order &each : orders) {
        const auto found = m_rollouts.find(each.service);
        if (found != m_rollouts.end() && found->second.order.rowVersion >= each.rowVersion)
            continue;
        rollout &current = m_rollouts[each.service];
        current = rollout();
        current.order = each;
        current.startedAt = each.seenAt;
        log_event(log_level::info, "rollout.ordered")
            .with("service", each.service)
            .with("target", each.targetVersion)
            .with("duration_s", seconds(each.length))
            .with("order", static_cast<std::int64_t>(each.rowVersion))
            .write();
    }
}

void rollout_controller::noteStatus(const rollout_status &status)
{
    const auto found = m_heard.find(status.service);
    if (found == m_heard.end()) {
        m_heard[status.service] = status;
        return;
    }
    rollout_status &known = found->second;
    const bool isEnded
        = known.orderVersion == status.orderVersion && known.state == rollout_state::rolled_back;
    const bool isNewer
        = std::pair(status.orderVersion, status.number) > std::pair(known.orderVersion, known.number);
    if (!isEnded && (isNewer || status.state == rollout_state::rolled_back)
        && status.orderVersion >= known.orderVersion)
        known = status;
}

void rollout_controller::applyHeard(rollout &current)
{
    const auto heard = m_heard.find(current.order.service);
    if (heard == m_heard.end() || heard->second.orderVersion != current.order.rowVersion
        || heard->second.state == rollout_state::in_progress || current.state != rollout_state::in_progress)
        return;
    setEnded(current, heard->second.state, "stated by the holder before");
}

rollout_controller::rollout *rollout_controller::find(const std::string &service, std::uint64_t orderVersion,
                                                      std::uint64_t tenure)
{
    const auto found = m_rollouts.find(service);
    if (m_tenure != tenure || found == m_rollouts.end() || found->second.order.rowVersion != orderVersion)
        return nullptr;
    return &found->second;
}

void rollout_controller::beginTenure(std::uint64_t fencingToken)
{
    m_tenure = fencingToken;
    m_isSuperseded = false;
    m_era = m_table.era();
    for (auto &[service, current] : m_rollouts) {
        rollout fresh;
        fresh.order = current.order;
        fresh.startedAt = current.startedAt;
        current = std::move(fresh);
    }
}

void rollout_controller::noteEra()
{
    if (std::exchange(m_era, m_table.era()) == m_table.era())
        return;
    // The table is an older copy. What is stated now is written again.
    for (auto &[service, current] : m_rollouts) {
        current.isRecordKnown = false;
        current.record.reset();
        current.isStatusKnown = false;
        current.status.reset();
    }
}

void rollout_controller::poll(const rollout_input &input)
{
    if (!input.fencingToken) {
        m_tenure.reset();
        return;
    }
    if (m_tenure != input.fencingToken)
        beginTenure(*input.fencingToken);
    if (m_isSuperseded)
        return;
    noteEra();
    for (auto &[service, current] : m_rollouts) {
        noteInput(current, input);
        applyHeard(current);
        updateRecord(current);
        if (!current.isRecordTaken && current.state == rollout_state::in_progress)
            continue;
        if (current.state == rollout_state::in_progress)
            decide(current, input);
        updateStatus(current);
        stateIfDue(current);
    }
}

void rollout_controller::noteInput(rollout &current, const rollout_input &input)
{
    const time_point now = m_tasks.now();
    const auto found = input.upstreams.find(current.order.service);
    const rollout_upstreams upstreams = found == input.upstreams.end() ? rollout_upstreams() : found->second;
    if (upstreams.target > 0)
        current.targetSeenAt = now;
    if (upstreams.other > 0 || !current.otherSeenAt)
        current.otherSeenAt = now;
    evidence_series::routes totals;
    current.target = {};
    current.other = {};
    for (const auto &[key, each] : input.evidence.totals()) {
        if (key.service != current.order.service || key.orderVersion != current.order.rowVersion)
            continue;
        const bool isTarget = key.kind == version_class::target;
        (isTarget ? totals[key.route].target : totals[key.route].other) += each;
        (isTarget ? current.target : current.other) += each;
    }
    current.series.append(now, totals);
    current.evidenceAge = input.evidenceAge;
}

void rollout_controller::decide(rollout &current, const rollout_input &input)
{
    const time_point now = m_tasks.now();
    const auto found = input.upstreams.find(current.order.service);
    decision_input decision;
    decision.sinceOrder = now - current.startedAt;
    decision.timeLeft = current.order.length - decision.sinceOrder;
    decision.evidenceAge = input.evidenceAge;
    decision.hasTarget = current.targetSeenAt && now - *current.targetSeenAt < presence_time;
    decision.hasOther = current.otherSeenAt && now - *current.otherSeenAt < presence_time;
    decision.streamsOnOther = found == input.upstreams.end() ? 0 : found->second.streamsOnOther;
    decision.share = current.share;
    decision.atShare = now - current.shareSince;
    const rollout_verdict verdict = decideRollout(m_limits, current.series, decision);
    if (verdict.action == rollout_action::roll_back) {
        if (!current.mayBeCompleted)
            setEnded(current, rollout_state::rolled_back, verdict.reason);
        return;
    }
    if (current.isCompleting)
        return;
    if (verdict.action == rollout_action::complete) {
        current.isCompleting = true;
        current.reason = verdict.reason;
        current.nextStatusCall = now;
    }
    if (verdict.share == current.share && verdict.reason == current.reason)
        return;
    // The figures in a reason change at each look.
    const auto stageOf = [](const std::string &reason) { return reason.substr(0, reason.find(',')); };
    const bool isNewStage = stageOf(current.reason) != stageOf(verdict.reason);
    current.reason = verdict.reason;
    const bool hasChanged = std::exchange(current.share, verdict.share) != verdict.share;
    if (hasChanged)
        current.shareSince = now;
    else if (!isNewStage)
        return;
    log_event(log_level::info, "rollout.step")
        .with("service", current.order.service)
        .with("target", current.order.targetVersion)
        .with("share", current.share)
        .with("reason", current.reason)
        .with("time_left_s", seconds(decision.timeLeft))
        .with("evidence_age_s", seconds(decision.evidenceAge))
        .with("target_calls", static_cast<std::int64_t>(current.target.started))
        .with("target_failures", static_cast<std::int64_t>(current.target.failures()))
        .with("other_calls", static_cast<std::int64_t>(current.other.started))
        .with("other_failures", static_cast<std::int64_t>(current.other.failures()))
        .write();
    if (hasChanged)
        announce(current);
}

void rollout_controller::setEnded(rollout &current, rollout_state state, const std::string &reason)
{
    current.state = state;
    current.isCompleting = false;
    current.share = state == rollout_state::completed ? 1.0 : 0.0;
    current.reason = reason;
    current.nextStatusCall = m_tasks.now();
    current.nextRecordCall = m_tasks.now();
    log_event(state == rollout_state::completed ? log_level::info : log_level::warning, "rollout.ended")
        .with("service", current.order.service)
        .with("target", current.order.targetVersion)
        .with("state", name(state))
        .with("reason", reason)
        .with("elapsed_s", seconds(m_tasks.now() - current.startedAt))
        .with("evidence_age_s", seconds(current.evidenceAge))
        .with("target_calls", static_cast<std::int64_t>(current.target.started))
        .with("target_failures", static_cast<std::int64_t>(current.target.failures()))
        .write();
    announce(current);
}

void rollout_controller::stateIfDue(rollout &current)
{
    if (m_tasks.now() >= current.nextStatement)
        announce(current);
}

void rollout_controller::announce(rollout &current)
{
    const bool isEnded = current.state != rollout_state::in_progress;
    current.nextStatement = m_tasks.now() + (isEnded ? ended_statement_interval : statement_interval);
    const rollout_status status{current.order.service,
                                current.order.targetVersion,
                                current.order.rowVersion,
                                current.state,
                                current.share,
                                {m_tenure.value_or(0), ++current.sequence},
                                m_tasks.wallMilliseconds()};
    m_announce(status);
}

void rollout_controller::stop(const std::string &service)
{
    const auto found = m_rollouts.find(service);
    if (!m_tenure || found == m_rollouts.end() || found->second.state != rollout_state::in_progress
        || found->second.mayBeCompleted)
        return;
    setEnded(found->second, rollout_state::rolled_back, "stopped by the operator");
}

std::vector<rollout_controller::view> rollout_controller::views() const
{
    std::vector<view> result;
    for (const auto &[service, current] : m_rollouts) {
        const rollout_status status{service,
                                    current.order.targetVersion,
                                    current.order.rowVersion,
                                    current.state,
                                    current.share,
                                    {m_tenure.value_or(0), current.sequence},
                                    m_tasks.wallMilliseconds()};
        result.push_back({status, current.reason, current.startedAt + current.order.length - m_tasks.now(),
                          current.evidenceAge, current.target, current.other});
    }
    return result;
}

} // namespace ivypier::delivery
