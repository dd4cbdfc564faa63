#include "delivery/rollout_gate.h"

#include <algorithm>

namespace ivypier::delivery {

rollout_gate::rollout_gate(const clock &time, random_source &randomness)
    : m_clock(time)
    , m_random(randomness)
{
}

std::string rollout_gate::targetOf(const rollout &current)
{
    const bool isStatusNewer
        = current.status && (!current.isOrdered || current.status->orderVersion >= current.order.rowVersion);
    return isStatusNewer ? current.status->targetVersion : current.order.targetVersion;
}

void rollout_gate::setOrders(const std::vector<rollout_order> &orders)
{
    for (auto &[service, current] : m_rollouts)
        current.isOrdered = false;
    for (const rollout_order &each : orders) {
        rollout &current = m_rollouts[each.service];
        current.isOrdered = true;
        if (current.order.rowVersion == each.rowVersion)
            continue;
        current.order = each;
        // A newer order may aim at a version that an earlier one rolled back.
        const auto found = current.rolledBack.find(each.targetVersion);
        if (found != current.rolledBack.end() && found->second < each.rowVersion)
            current.rolledBack.erase(found);
    }
}

void rollout_gate::setStatus(const rollout_status &status, time_point statedAt)
{
    rollout &current = m_rollouts[status.service];
    if (current.status) {
        if (status.orderVersion < current.status->orderVersion)
            return;
        if (status.orderVersion == current.status->orderVersion) {
            // Rolled back is final, whoever states another state later.
            if (current.status->state == rollout_state::rolled_back)
                return;
            if (status.number <= current.status->number && status.state != rollout_state::rolled_back)
                return;
        } else {
            current.accumulator = m_random.uniform();
        }
    } else {
        current.accumulator = m_random.uniform();
    }
#ifdef IVYPIER_MUTANT_ROLLOUT_SHARE
    if (!current.status || current.status->orderVersion != status.orderVersion)
        current.accumulator = 1.0;
#endif
    current.status = status;
    current.statedAt = statedAt;
    current.isStopped = false;
    current.answers.clear();
    if (status.state == rollout_state::rolled_back) {
        current.rolledBack[status.targetVersion] = status.orderVersion;
        if (current.rolledBack.size() > max_rolled_back) {
            const auto oldest = std::min_element(
                current.rolledBack.begin(), current.rolledBack.end(),
                [](const auto &left, const auto &right) { return left.second < right.second; });
            current.rolledBack.erase(oldest);
        }
    } else {
        const auto found = current.rolledBack.find(status.targetVersion);
        if (found != current.rolledBack.end() && found->second < status.orderVersion)
            current.rolledBack.erase(found);
    }
}

bool rollout_gate::isPermitted(const rollout &current) const
{
    return current.isOrdered && current.status && current.status->orderVersion == current.order.rowVersion
        && current.status->state == rollout_state::in_progress && !current.isStopped
        && current.status->share > 0.0 && m_clock.now() - current.statedAt < permission_lifetime;
}

std::set<std::string> rollout_gate::excludedVersions(const std::string &service) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return {};
    const rollout &current = found->second;
    std::set<std::string> result;
    for (const auto &[version, orderVersion] : current.rolledBack)
        result.insert(version);
    const bool isCompleted = current.status && current.status->state == rollout_state::completed
        && (!current.isOrdered || current.status->orderVersion >= current.order.rowVersion);
    const std::string target = targetOf(current);
    if (!isCompleted && !target.empty() && !isPermitted(current))
        result.insert(target);
    return result;
}

bool rollout_gate::mayUse(const std::string &service, const std::string &softwareVersion) const
{
    return !excludedVersions(service).contains(softwareVersion);
}

version_filter rollout_gate::withoutTarget(const std::string &service) const
{
    version_filter result{{}, excludedVersions(service)};
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return result;
    const rollout &current = found->second;
    result.orderVersion = orderInProgress(service);
    result.targetVersion = targetOf(current);
    if (result.orderVersion != 0)
        result.excluded.insert(result.targetVersion);
    return result;
}

version_filter rollout_gate::admit(const std::string &service)
{
    version_filter result = withoutTarget(service);
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return result;
    rollout &current = found->second;
    const bool isCompleted = current.status && current.isOrdered
        && current.status->state == rollout_state::completed
        && current.status->orderVersion >= current.order.rowVersion;
    // The platform stops the old upstreams without draining.
    if (isCompleted)
        result.only = {result.targetVersion};
    if (!isPermitted(current))
        return result;
    current.accumulator += std::min(current.status->share, 1.0);
    if (current.accumulator < 1.0)
        return result;
    current.accumulator -= 1.0;
    result.only = {result.targetVersion};
    result.excluded.erase(result.targetVersion);
    return result;
}

void rollout_gate::recordAnswer(const std::string &service, const std::string &softwareVersion, bool bad)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || softwareVersion != targetOf(found->second))
        return;
    rollout &current = found->second;
    current.answers.push_back(bad);
    if (current.answers.size() > answer_window)
        current.answers.pop_front();
    const auto badAnswers = std::count(current.answers.begin(), current.answers.end(), true);
    if (static_cast<std::size_t>(badAnswers) >= max_bad_answers)
        current.isStopped = true;
}

std::vector<rollout_status> rollout_gate::statuses() const
{
    std::vector<rollout_status> result;
    for (const auto &[service, current] : m_rollouts) {
        if (current.status)
            result.push_back(*current.status);
    }
    return result;
}

std::uint64_t rollout_gate::orderInProgress(const std::string &service) const
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || !found->second.isOrdered)
        return 0;
    const rollout &current = found->second;
    const bool isEnded = current.status && current.status->orderVersion >= current.order.rowVersion
        && current.status->state != rollout_state::in_progress;
    return isEnded ? 0 : current.order.rowVersion;
}

} // namespace ivypier::delivery
