#include "placement/capacity_controller.h"

#include "base/log_event.h"

#include <algorithm>

namespace ivypier::placement {

capacity_controller::capacity_controller(const dependencies &collaborators, planned_service service,
                                         capacity_options options)
    : m_dependencies(collaborators)
    , m_service(std::move(service))
    , m_options(options)
    , m_estimate(options.demand)
    , m_backoff(collaborators.tasks, collaborators.randomness)
{
}

void capacity_controller::setService(planned_service service)
{
    m_service = std::move(service);
}

void capacity_controller::start()
{
    reconcile();
}

const vm_mix &capacity_controller::mix() const
{
    return m_mix;
}

bool capacity_controller::isCurrent(std::uint64_t cycle) const
{
    return cycle == m_cycle && m_dependencies.dutyLease.held().has_value();
}

void capacity_controller::reconcile()
{
    const double jitter = 0.75 + m_dependencies.randomness.uniform() / 2;
    m_dependencies.tasks.after(fromSeconds(seconds(m_options.interval) * jitter), [this] { reconcile(); });
    const std::uint64_t cycle = ++m_cycle;
    const std::optional<lease> held = m_dependencies.dutyLease.held();
    if (!held || held->tenure != m_tenure)
        m_record.reset();
    if (!held)
        return;
    m_tenure = held->tenure;
    if (m_record)
        readVms(cycle);
    else
        readRecord(cycle);
}

void capacity_controller::readRecord(std::uint64_t cycle)
{
    m_dependencies.table.read(
        "placement/" + m_service.name, [this, cycle](const outcome<std::optional<cloud::table_row>> &read) {
            if (!isCurrent(cycle) || !read)
                return;
            m_recordVersion = read.value() ? read.value()->version : 0;
            const outcome<start_record> record
                = read.value() ? start_record::decode(read.value()->value) : start_record();
            if (!record)
                log_event(log_level::error, "placement.unreadable").with("service", m_service.name).write();
            m_record = record ? record.value() : start_record();
            m_recordChanged = false;
            readVms(cycle);
        });
}

void capacity_controller::readVms(std::uint64_t cycle)
{
    m_dependencies.cloud.listVms([this, cycle](const outcome<std::vector<cloud::vm_record>> &listed) {
        if (isCurrent(cycle) && listed)
            readNotices(cycle, listed.value());
    });
}

void capacity_controller::readNotices(std::uint64_t cycle, std::vector<cloud::vm_record> vms)
{
    m_dependencies.cloud.listNotices(
        "", [this, cycle, vms = std::move(vms)](const outcome<std::vector<cloud::reclaim_notice>> &notices) {
            if (!isCurrent(cycle))
                return;
            for (const cloud::reclaim_notice &each :
                 notices ? notices.value() : std::vector<cloud::reclaim_notice>())
                m_noticedVms.insert(each.vm);
            readPrices(cycle, buildInventory(vms));
        });
}

void capacity_controller::readPrices(std::uint64_t cycle, const vm_inventory &inventory)
{
    m_dependencies.cloud.listPrices(
        [this, cycle, inventory](const outcome<std::vector<cloud::vm_price>> &prices) {
            if (!isCurrent(cycle) || !m_record) // dropped by a write that failed in the meantime
                return;
            for (const cloud::vm_price &each : prices ? prices.value() : std::vector<cloud::vm_price>())
                m_prices[{each.failureDomain, each.machineClass, each.kind}] = each.perHour;
            decide(inventory);
        });
}

capacity_controller::vm_inventory
capacity_controller::buildInventory(const std::vector<cloud::vm_record> &vms) const
{
    vm_inventory inventory;
    for (const cloud::vm_record &each : vms) {
        inventory.listed.insert(each.id);
        const bool remains = each.state == cloud::vm_state::live && !m_noticedVms.contains(each.id)
            && !m_releasedVms.contains(each.id);
        if (each.role == m_service.name && remains)
            inventory.live[{each.failureDomain, each.machineClass, each.kind}].push_back(each.id);
    }
    return inventory;
}

void capacity_controller::pruneRecord(const vm_inventory &inventory)
{
    const time_point now = m_dependencies.tasks.now();
    const std::size_t before = m_record->pending.size();
    std::erase_if(m_record->pending, [&](const pending_start &each) {
        const auto [since, first] = m_pendingSince.try_emplace(each.token, now);
        const auto started = m_startedVms.find(each.token);
        const bool listed = started != m_startedVms.end() && inventory.listed.contains(started->second);
        return listed || now - since->second > m_options.listingTimeout;
    });
    m_recordChanged = m_recordChanged || m_record->pending.size() != before;
    const auto isUnlisted = [&](const std::string &vm) { return !inventory.listed.contains(vm); };
    std::erase_if(m_noticedVms, isUnlisted);
    std::erase_if(m_releasedVms, isUnlisted);
    const auto isSettled = [&](const auto &entry) {
        return std::none_of(m_record->pending.begin(), m_record->pending.end(),
                            [&](const pending_start &each) { return each.token == entry.first; });
    };
    std::erase_if(m_pendingSince, isSettled);
    std::erase_if(m_startedVms, isSettled);
}

double capacity_controller::plannedDemand()
{
    if (m_service.retired)
        return 0.0;
    if (const std::optional<service_demand> observedDemand = m_dependencies.demand.observed(m_service.name))
        m_estimate.observe(m_dependencies.tasks.now(), observedDemand->requestsPerSecond);
    return std::max(m_service.minRequestsPerSecond, m_estimate.plannedRate().value_or(0.0));
}

double capacity_controller::capacityPerVm(const std::string &machineClass) const
{
    const std::optional<service_demand> observedDemand = m_dependencies.demand.observed(m_service.name);
    for (const class_capacity &each : m_service.capacities) {
        if (each.machineClass != machineClass)
            continue;
        if (!observedDemand || observedDemand->tokensPerSecond <= 0.0 || each.tokensPerSecond <= 0.0)
            return each.requestsPerSecond;
        return std::min(each.requestsPerSecond,
                        each.tokensPerSecond * observedDemand->requestsPerSecond
                            / observedDemand->tokensPerSecond);
    }
    return 0.0;
}

std::map<vm_type, std::uint32_t> capacity_controller::countByType(const vm_inventory &inventory) const
{
    std::map<vm_type, std::uint32_t> running;
    for (const auto &[type, vms] : inventory.live)
        running[type] += static_cast<std::uint32_t>(vms.size());
    for (const pending_start &each : m_record->pending)
        ++running[each.type];
    return running;
}

mix_request capacity_controller::buildRequest(const vm_inventory &inventory)
{
    mix_request request{plannedDemand(), m_service.budgetPerHour, {}};
    const std::map<vm_type, std::uint32_t> running = countByType(inventory);
    for (const auto &[type, price] : m_prices) {
        const auto found = running.find(type);
        const double rate = capacityPerVm(type.machineClass);
        if (rate > 0.0)
            request.offers.push_back(
                {type, price, rate, found == running.end() ? 0 : found->second, m_backoff.allows(type)});
    }
    return request;
}

void capacity_controller::decide(const vm_inventory &inventory)
{
    pruneRecord(inventory);
    const mix_request request = buildRequest(inventory);
    if (request != m_lastRequest) {
        m_mix = m_dependencies.policy.choose(request);
        m_lastRequest = request;
    }
    publishMetrics(request, inventory);
    planStarts(countByType(inventory));
    releaseSurplus(inventory);
    if (m_recordChanged)
        writeRecord();
    else
        startPendingVms();
}

void capacity_controller::planStarts(const std::map<vm_type, std::uint32_t> &running)
{
    double cost = 0.0;
    for (const auto &[type, count] : running)
        cost += count * m_prices[type];
    std::size_t started = 0;
    m_hasMissingVms = false;
    for (const auto &[type, wanted] : m_mix.counts) {
        const auto found = running.find(type);
        for (std::uint32_t count = found == running.end() ? 0 : found->second; count < wanted; ++count) {
            m_hasMissingVms = true;
            const double price = m_prices[type];
            if (started == m_options.maxStartsPerCycle || cost + price > m_service.budgetPerHour
                || !m_backoff.allows(type))
                break;
            cost += price;
            ++started;
            m_record->pending.push_back({m_service.name + '-' + std::to_string(m_tenure) + '-'
                                             + std::to_string(m_record->nextToken++),
                                         type});
            m_recordChanged = true;
        }
    }
}

void capacity_controller::releaseSurplus(const vm_inventory &inventory)
{
    const time_point now = m_dependencies.tasks.now();
    double cost = 0.0;
    double missingCost = 0.0;
    const std::map<vm_type, std::uint32_t> running = countByType(inventory);
    for (const auto &[type, count] : running) {
        const auto wanted = m_mix.counts.find(type);
        cost += count * m_prices[type];
        missingCost += wanted != m_mix.counts.end() && wanted->second > count
            ? (wanted->second - count) * m_prices[type]
            : 0.0;
    }
    // Surplus VMs are released only once their replacements run, unless the budget can't pay for both.
    const bool replacementsRunning = !m_hasMissingVms && m_record->pending.empty();
    const bool overBudget = cost + missingCost > m_service.budgetPerHour;
    for (const auto &[type, vms] : inventory.live) {
        const auto wanted = m_mix.counts.find(type);
        const std::size_t keep = wanted == m_mix.counts.end() ? 0 : wanted->second;
        if (vms.size() <= keep || !m_prices.contains(type) || capacityPerVm(type.machineClass) <= 0.0) {
            m_surplusSince.erase(type);
            continue;
        }
        const time_point since = m_surplusSince.try_emplace(type, now).first->second;
        if ((!replacementsRunning && !overBudget) || now - since < m_options.releaseDelay)
            continue;
        for (std::size_t index = keep; index < vms.size(); ++index) {
            const std::string &vm = vms[index];
            m_releasedVms.insert(vm);
            m_dependencies.metrics.add("ivypier_vm_releases_total", {{"service", m_service.name}});
            log_event(log_level::info, "placement.release")
                .with("service", m_service.name)
                .with("vm", vm)
                .write();
            m_dependencies.cloud.releaseVm(
                vm, m_options.releaseNotice, [this, vm](const outcome<void> &response) {
                    if (!response)
                        m_releasedVms.erase(vm); // counts as live again; a later cycle retries the release
                });
        }
    }
}

void capacity_controller::writeRecord()
{
    const std::uint64_t cycle = m_cycle;
    const std::uint64_t tenure = m_tenure;
    m_recordChanged = false;
    m_dependencies.table.write(
        "placement/" + m_service.name, m_recordVersion, m_record->encode(),
        [this, cycle, tenure](const outcome<cloud::table_row> &written) {
            if (tenure != m_tenure)
                return;
            if (!written) {
                m_record.reset(); // the write may have been applied, so the next cycle reads the row
                return;
            }
            m_recordVersion = written.value().version;
            if (isCurrent(cycle) && m_record)
                startPendingVms();
        });
}

void capacity_controller::startPendingVms()
{
    for (const pending_start &each : m_record->pending) {
        if (m_startedVms.contains(each.token) || !m_startsInFlight.insert(each.token).second)
            continue;
        const cloud::vm_order order{each.token, m_service.name, each.type.failureDomain,
                                    each.type.machineClass, each.type.kind};
        m_dependencies.cloud.startVm(order, [this, each](const outcome<cloud::vm_record> &response) {
            m_startsInFlight.erase(each.token);
            onStarted(each, response);
        });
    }
}

void capacity_controller::onStarted(const pending_start &ordered, const outcome<cloud::vm_record> &response)
{
    m_dependencies.metrics.add("ivypier_vm_starts_total",
                               {{"service", m_service.name},
                                {"result", response ? "started" : std::string(name(response.error().code))}});
    if (response) {
        m_startedVms[ordered.token] = response.value().id;
        m_backoff.recordSuccess(ordered.type);
        return;
    }
    if (response.error().code != error_code::refused)
        return; // a later cycle retries with the same token
    m_backoff.recordRefusal(ordered.type);
    if (!m_record)
        return;
    m_recordChanged = std::erase_if(m_record->pending,
                                    [&](const pending_start &each) { return each.token == ordered.token; })
            > 0
        || m_recordChanged;
    log_event(log_level::warning, "placement.refused")
        .with("service", m_service.name)
        .with("failure_domain", ordered.type.failureDomain)
        .with("machine_class", ordered.type.machineClass)
        .with("kind", cloud::name(ordered.type.kind))
        .write();
}

void capacity_controller::publishMetrics(const mix_request &request, const vm_inventory &inventory)
{
    const metric_labels labels{{"service", m_service.name}};
    double running = 0.0;
    for (const auto &[type, vms] : inventory.live)
        running += static_cast<double>(vms.size());
    const bool before = m_dependencies.metrics.value("ivypier_placement_target_missed", labels) > 0.0;
    m_dependencies.metrics.set("ivypier_vms_live", labels, running);
    m_dependencies.metrics.set("ivypier_vms_pending", labels, static_cast<double>(m_record->pending.size()));
    m_dependencies.metrics.set("ivypier_placement_cost_per_hour", labels, m_mix.costPerHour);
    m_dependencies.metrics.set("ivypier_placement_demand_per_second", labels, request.requestsPerSecond);
    m_dependencies.metrics.set("ivypier_placement_target_missed", labels, m_mix.meetsTarget ? 0.0 : 1.0);
    if (m_mix.meetsTarget != before)
        return;
    log_event(m_mix.meetsTarget ? log_level::info : log_level::warning,
              m_mix.meetsTarget ? "placement.target_kept" : "placement.target_missed")
        .with("service", m_service.name)
        .with("requests_per_second", request.requestsPerSecond)
        .with("carried_per_second", m_mix.carriedRequestsPerSecond)
        .with("cost_per_hour", m_mix.costPerHour)
        .with("budget_per_hour", request.budgetPerHour)
        .write();
}

} // namespace ivypier::placement
