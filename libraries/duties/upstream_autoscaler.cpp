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

bool upstream_autoscaler::isDiscoveryDone(const std::string &service, const capacity_plan &there)
{
    load_state &load = m_loads[service];
    if (load.discovered)
        return true;
    std::uint32_t found = 0;
    for (const auto &[domain, counts] : there)
        found += counts.total();
    if (found > load.found) {
        load.found = found;
        load.lastFoundAt = m_tasks.now();
    }
    load.discovered = load.found > 0 && m_tasks.now() - load.lastFoundAt > m_options.discoveryQuietPeriod;
    return load.discovered;
}

double upstream_autoscaler::smoothLoad(const std::string &service, const relay::service_work &work)
{
    const time_point now = m_tasks.now();
    load_state &load = m_loads[service];
    if (work.tokensPerSecond > 0.0 && load.since == time_point())
        load.since = now;
    if (work.engineTokensPerSecond > 0.0) {
        const double current = work.tokensPerSecond / work.engineTokensPerSecond;
        const duration constant
            = current > load.value ? m_options.riseTimeConstant : m_options.fallTimeConstant;
        const double part = 1.0 - std::exp(-seconds(now - load.at) / seconds(constant));
        load.value = std::exchange(load.started, true) ? load.value + (current - load.value) * part : current;
        load.at = now;
    }
    const bool known = load.started && load.since != time_point() && now - load.since > m_options.warmUpTime;
    return known ? load.value : std::max(load.value, m_policy.loadFor(load.found));
}

double upstream_autoscaler::applyHysteresis(const std::string &service, double load)
{
    double &planned = m_plannedLoads[service];
    if (load > planned || load < planned * (1.0 - m_options.hysteresis))
        planned = load;
    return planned;
}

capacity_plan upstream_autoscaler::present(const std::string &service) const
{
    capacity_plan result;
    for (const relay::upstream *each : m_upstreams.ready(service)) {
        domain_capacity &counts = result[each->record.failureDomain];
        ++(each->record.reclaimable ? counts.reclaimable : counts.onDemand);
    }
    return result;
}

capacity_plan upstream_autoscaler::booting(const relay::service &of, const capacity_plan &there) const
{
    capacity_plan result;
    for (const auto &[key, sent] : m_sent) {
        const auto &[service, domain, reclaimable] = key;
        const duration since = m_tasks.now() - sent.sentAt;
        if (service != of.name || sent.rejected || since > of.scaling->bootTime + m_options.bootMargin)
            continue;
        const auto left = m_lastLeavingAt.find(key);
        if (left != m_lastLeavingAt.end() && left->second >= sent.sentAt)
            continue;
        const auto found = there.find(domain);
        const domain_capacity now = found == there.end() ? domain_capacity() : found->second;
        const std::uint32_t discovered = reclaimable ? now.reclaimable : now.onDemand;
        if (sent.count > discovered)
            (reclaimable ? result[domain].reclaimable : result[domain].onDemand) = sent.count - discovered;
    }
    return result;
}

void upstream_autoscaler::poll(const relay::service_map &configuration,
                               const std::map<std::string, relay::service_work> &work)
{
    const std::optional<placement::lease> held = m_lease.held();
    if (held && m_tenure != held->tenure) {
        // What the holder before ordered is not known: every order is sent anew.
        m_tenure = held->tenure;
        m_sent.clear();
    }
    for (const relay::service &each : configuration.services) {
        if (!each.scaling || each.scaling->most == 0)
            continue;
        const auto found = work.find(each.name);
        const capacity_plan there = present(each.name);
        const bool discovered = isDiscoveryDone(each.name, there);
        const double load = applyHysteresis(
            each.name, smoothLoad(each.name, found == work.end() ? relay::service_work() : found->second));
        if (!discovered || !held || there.empty())
            continue;
        capacity_plan plan = m_policy.choose(
            {*each.scaling, load, there, booting(each, there), m_loads[each.name].since == time_point()});
        holdReclaimable(each.name, there, plan);
        logPlan(each.name, load, plan);
        for (const auto &[domain, counts] : plan) {
            const auto in = there.find(domain);
            const domain_capacity now = in == there.end() ? domain_capacity() : in->second;
            order(each, domain, true, counts.reclaimable, now.reclaimable);
            order(each, domain, false, counts.onDemand, now.onDemand);
        }
    }
}

void upstream_autoscaler::holdReclaimable(const std::string &service, const capacity_plan &there,
                                          capacity_plan &plan)
{
    for (const auto &[domain, counts] : plan) {
        const order_key key{service, domain, true};
        const auto sent = m_sent.find(key);
        const auto left = m_lastLeavingAt.find(key);
        const auto found = there.find(domain);
        const std::uint32_t discovered = found == there.end() ? 0 : found->second.reclaimable;
        const bool isReclaimed = sent != m_sent.end() && left != m_lastLeavingAt.end()
            && left->second >= sent->second.sentAt && discovered < sent->second.count;
        if (isReclaimed)
            m_reclaimedAt[service] = std::max(m_reclaimedAt[service], left->second);
    }
    const auto at = m_reclaimedAt.find(service);
    if (at == m_reclaimedAt.end() || m_tasks.now() - at->second > m_options.reclaimHoldTime)
        return;
    for (const auto &[domain, before] : m_previousPlans[service]) {
        const auto now = plan.find(domain);
        if (now != plan.end())
            now->second.reclaimable = std::max(now->second.reclaimable, before.reclaimable);
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

void upstream_autoscaler::order(const relay::service &of, const std::string &domain, bool reclaimable,
                                std::uint32_t count, std::uint32_t there)
{
    const order_key key{of.name, domain, reclaimable};
    const auto found = m_sent.find(key);
    const time_point now = m_tasks.now();
    if (found == m_sent.end()) {
        if (count == there)
            return;
    } else {
        const sent_order &last = found->second;
        if (last.open || now - last.sentAt < m_options.retryDelay)
            return;
        const duration bootTimeout = of.scaling->bootTime + m_options.bootMargin;
        const bool isOutdated = last.rejected || (there != last.count && now - last.sentAt > bootTimeout);
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
                             [this, key, order, fencingToken](const outcome<void> &taken) {
                                 log_event(log_level::info, "capacity.ordered")
                                     .with("service", order.service)
                                     .with("failure_domain", order.failureDomain)
                                     .with("kind", order.reclaimable ? "reclaimable" : "on_demand")
                                     .with("count", static_cast<std::int64_t>(order.count))
                                     .with("fencing", static_cast<std::int64_t>(fencingToken))
                                     .with("outcome", taken ? "taken" : taken.error().message)
                                     .write();
                                 const auto found = m_sent.find(key);
                                 if (found == m_sent.end() || fencingToken != m_tenure)
                                     return;
                                 found->second.open = false;
                                 found->second.rejected = !taken;
                             });
}

} // namespace ivypier::duties
