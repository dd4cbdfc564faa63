#include "duties/upstream_autoscaler.h"

#include "base/log_event.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivypier::duties {

upstream_autoscaler::upstream_autoscaler(scheduler &tasks, cloud::fenced_operations &platform,
                                         const placement::duty &lease, relay::upstream_directory &upstreams,
                                         capacity_policy policy, autoscaler_options options)
    : m_tasks(tasks)
    , m_platform(platform)
    , m_lease(lease)
    , m_upstreams(upstreams)
    , m_policy(policy)
    , m_options(options)
{
    upstreams.onUnavailable([this](const relay::upstream_record &each) {
        m_lastLeavingAt[{each.service, each.failureDomain, each.reclaimable}] = m_tasks.now();
    });
}

bool upstream_autoscaler::isDiscoveryDone(const std::string &service, const capacity_plan &present)
{
    load_state &load = m_loads[service];
    if (load.discovered)
        return true;
    std::uint32_t found = 0;
    for (const auto &[domain, counts] : present)
        found += counts.total();
    if (found > load.initialUpstreams) {
        load.initialUpstreams = found;
        load.lastFoundAt = m_tasks.now();
    }
    load.discovered
        = load.initialUpstreams > 0 && m_tasks.now() - load.lastFoundAt > m_options.discoveryQuietPeriod;
    return load.discovered;
}

double upstream_autoscaler::smoothLoad(const std::string &service, const relay::service_work &work)
{
    const time_point now = m_tasks.now();
    load_state &load = m_loads[service];
    if (work.tokensPerSecond > 0.0 && load.firstCallAt == time_point())
        load.firstCallAt = now;
    if (work.engineTokensPerSecond > 0.0) {
        const double current = work.tokensPerSecond / work.engineTokensPerSecond;
        const duration timeConstant
            = current > load.smoothed ? m_options.riseTimeConstant : m_options.fallTimeConstant;
        const double weight = 1.0 - std::exp(-seconds(now - load.updatedAt) / seconds(timeConstant));
        load.smoothed = std::exchange(load.hasSample, true)
            ? load.smoothed + (current - load.smoothed) * weight
            : current;
        load.updatedAt = now;
    }
    const bool isWarmedUp
        = load.hasSample && load.firstCallAt != time_point() && now - load.firstCallAt > m_options.warmUpTime;
    return isWarmedUp ? load.smoothed : std::max(load.smoothed, m_policy.loadFor(load.initialUpstreams));
}

double upstream_autoscaler::applyHysteresis(const std::string &service, double load)
{
    double &planned = m_plannedLoads[service];
    if (load > planned || load < planned * (1.0 - m_options.hysteresis))
        planned = load;
    return planned;
}

capacity_plan upstream_autoscaler::countPresent(const std::string &service) const
{
    capacity_plan result;
    const std::set<std::string> uncounted
        = m_rollouts ? m_rollouts->withoutTarget(service).excluded : std::set<std::string>();
    for (const relay::upstream *each : m_upstreams.ready(service)) {
        if (uncounted.contains(each->record.softwareVersion))
            continue;
        domain_capacity &counts = result[each->record.failureDomain];
        ++(each->record.reclaimable ? counts.reclaimable : counts.onDemand);
    }
    return result;
}

capacity_plan upstream_autoscaler::countBooting(const relay::service &scaled,
                                                const capacity_plan &present) const
{
    capacity_plan result;
    for (const auto &[key, sent] : m_sent) {
        const auto &[service, domain, reclaimable] = key;
        const duration age = m_tasks.now() - sent.sentAt;
        if (service != scaled.name || sent.rejected || age > scaled.scaling->bootTime + m_options.bootMargin)
            continue;
        const auto leavingAt = m_lastLeavingAt.find(key);
        if (leavingAt != m_lastLeavingAt.end() && leavingAt->second >= sent.sentAt)
            continue;
        const auto found = present.find(domain);
        const domain_capacity now = found == present.end() ? domain_capacity() : found->second;
        const std::uint32_t readyCount = reclaimable ? now.reclaimable : now.onDemand;
        if (sent.count > readyCount)
            (reclaimable ? result[domain].reclaimable : result[domain].onDemand) = sent.count - readyCount;
    }
    return result;
}

void upstream_autoscaler::poll(const relay::service_map &configuration,
                               const std::map<std::string, relay::service_work> &work)
{
    const std::optional<placement::lease> held = m_lease.held();
    if (held && m_tenure != held->tenure) {
        // The orders of the previous holder are unknown, so the record of sent orders starts empty.
        m_tenure = held->tenure;
        m_sent.clear();
    }
    for (const relay::service &each : configuration.services) {
        if (!each.scaling || each.scaling->maxPerDomain == 0)
            continue;
        const auto found = work.find(each.name);
        const capacity_plan present = countPresent(each.name);
        const bool discovered = isDiscoveryDone(each.name, present);
        const double load = applyHysteresis(
            each.name, smoothLoad(each.name, found == work.end() ? relay::service_work() : found->second));
        if (!discovered || !held || present.empty())
            continue;
        capacity_plan plan = m_policy.choose({*each.scaling, load, present, countBooting(each, present),
                                              m_loads[each.name].firstCallAt == time_point()});
        holdReclaimable(each.name, present, plan);
        holdDuringRollout(each.name, present, plan);
        logPlan(each.name, load, plan);
        for (const auto &[domain, counts] : plan) {
            const auto in = present.find(domain);
            const domain_capacity now = in == present.end() ? domain_capacity() : in->second;
            orderIfNeeded(each, domain, true, counts.reclaimable, now.reclaimable);
            orderIfNeeded(each, domain, false, counts.onDemand, now.onDemand);
        }
    }
}

void upstream_autoscaler::holdReclaimable(const std::string &service, const capacity_plan &present,
                                          capacity_plan &plan)
{
    for (const auto &[domain, counts] : plan) {
        const order_key key{service, domain, true};
        const auto sent = m_sent.find(key);
        const auto leavingAt = m_lastLeavingAt.find(key);
        const auto found = present.find(domain);
        const std::uint32_t readyCount = found == present.end() ? 0 : found->second.reclaimable;
        const bool isReclaimed = sent != m_sent.end() && leavingAt != m_lastLeavingAt.end()
            && leavingAt->second >= sent->second.sentAt && readyCount < sent->second.count;
        if (isReclaimed)
            m_reclaimedAt[service] = std::max(m_reclaimedAt[service], leavingAt->second);
    }
    const auto reclaimedAt = m_reclaimedAt.find(service);
    if (reclaimedAt == m_reclaimedAt.end() || m_tasks.now() - reclaimedAt->second > m_options.reclaimHoldTime)
        return;
    for (const auto &[domain, previous] : m_previousPlans[service]) {
        const auto now = plan.find(domain);
        if (now != plan.end())
            now->second.reclaimable = std::max(now->second.reclaimable, previous.reclaimable);
    }
}

void upstream_autoscaler::followRollouts(const delivery::rollout_gate &gate)
{
    m_rollouts = &gate;
}

void upstream_autoscaler::holdDuringRollout(const std::string &service, const capacity_plan &present,
                                            capacity_plan &plan) const
{
    if (!m_rollouts || m_rollouts->orderInProgress(service) == 0)
        return;
    for (const auto &[domain, counts] : present) {
        domain_capacity &planned = plan[domain];
        planned.onDemand = std::max(planned.onDemand, counts.onDemand);
        planned.reclaimable = std::max(planned.reclaimable, counts.reclaimable);
    }
}

void upstream_autoscaler::logPlan(const std::string &service, double load, const capacity_plan &plan)
{
    if (std::exchange(m_previousPlans[service], plan) == plan)
        return;
    std::string text;
    for (const auto &[domain, counts] : plan)
        text += (text.empty() ? "" : " ") + domain + ':' + std::to_string(counts.onDemand) + '+'
            + std::to_string(counts.reclaimable);
    log_event(log_level::info, "capacity.planned")
        .with("service", service)
        .with("load", load)
        .with("on_demand_and_reclaimable", text)
        .write();
}

void upstream_autoscaler::orderIfNeeded(const relay::service &service, const std::string &domain,
                                        bool reclaimable, std::uint32_t count, std::uint32_t present)
{
    const order_key key{service.name, domain, reclaimable};
    const auto found = m_sent.find(key);
    const time_point now = m_tasks.now();
    if (found == m_sent.end()) {
        if (count == present)
            return;
    } else {
        const sent_order &last = found->second;
        if (last.pending || now - last.sentAt < m_options.retryDelay)
            return;
        const duration bootTimeout = service.scaling->bootTime + m_options.bootMargin;
        const bool isOutdated = last.rejected || (present != last.count && now - last.sentAt > bootTimeout);
        if (last.count == count && !isOutdated)
            return;
    }
    send(key, count, m_tenure);
}

void upstream_autoscaler::send(const order_key &key, std::uint32_t count, std::uint64_t fencingToken)
{
    m_sent[key] = {count, m_tasks.now(), false, true};
    const auto &[service, domain, reclaimable] = key;
    const cloud::capacity_order order{service, domain, reclaimable, count};
    m_platform.orderCapacity(order, fencingToken,
                             [this, key, order, fencingToken](const outcome<void> &result) {
                                 log_event(log_level::info, "capacity.ordered")
                                     .with("service", order.service)
                                     .with("failure_domain", order.failureDomain)
                                     .with("kind", order.reclaimable ? "reclaimable" : "on_demand")
                                     .with("count", static_cast<std::int64_t>(order.count))
                                     .with("fencing", static_cast<std::int64_t>(fencingToken))
                                     .with("outcome", result ? "taken" : result.error().message)
                                     .write();
                                 const auto found = m_sent.find(key);
                                 if (found == m_sent.end() || fencingToken != m_tenure)
                                     return;
                                 found->second.pending = false;
                                 found->second.rejected = !result;
                             });
}

} // namespace ivypier::duties
