#include "placement/capacity_keeper.h"

#include "base/log_event.h"

#include <algorithm>

namespace ivypier::placement {

capacity_keeper::capacity_keeper(const parts &given, planned_service service, capacity_options options)
    : m_parts(given)
    , m_service(std::move(service))
    , m_options(options)
    , m_estimate(options.demand)
    , m_backoff(given.tasks, given.randomness)
{
}

void capacity_keeper::setService(planned_service service)
{
    m_service = std::move(service);
}

void capacity_keeper::start()
{
    turn();
}

const vm_mix &capacity_keeper::mix() const
{
    return m_mix;
}

bool capacity_keeper::current(std::uint64_t turn) const
{
    return turn == m_turn && m_parts.permission.held().has_value();
}

void capacity_keeper::turn()
{
    const double jitter = 0.75 + m_parts.randomness.uniform() / 2;
    m_parts.tasks.after(fromSeconds(seconds(m_options.interval) * jitter), [this] { turn(); });
    const std::uint64_t turn = ++m_turn;
    const std::optional<lease> held = m_parts.permission.held();
    if (!held || held->tenure != m_tenure)
        m_record.reset();
    if (!held)
        return;
    m_tenure = held->tenure;
    if (m_record)
        readVms(turn);
    else
        readRecord(turn);
}

void capacity_keeper::readRecord(std::uint64_t turn)
{
    m_parts.table.read(
        "placement/" + m_service.name, [this, turn](const outcome<std::optional<cloud::table_row>> &read) {
            if (!current(turn) || !read)
                return;
            m_recordVersion = read.value() ? read.value()->version : 0;
            const outcome<start_record> record
                = read.value() ? start_record::decode(read.value()->value) : start_record();
            if (!record)
                log_event(log_level::error, "placement.unreadable").with("service", m_service.name).write();
            m_record = record ? record.value() : start_record();
            m_recordChanged = false;
            readVms(turn);
        });
}

void capacity_keeper::readVms(std::uint64_t turn)
{
    m_parts.cloud.listVms([this, turn](const outcome<std::vector<cloud::vm_record>> &listed) {
        if (current(turn) && listed)
            readNotices(turn, listed.value());
    });
}

void capacity_keeper::readNotices(std::uint64_t turn, std::vector<cloud::vm_record> vms)
{
    m_parts.cloud.listNotices(
        "", [this, turn, vms = std::move(vms)](const outcome<std::vector<cloud::reclaim_notice>> &notices) {
            if (!current(turn))
                return;
            for (const cloud::reclaim_notice &each :
                 notices ? notices.value() : std::vector<cloud::reclaim_notice>())
                m_noticed.insert(each.vm);
            readPrices(turn, stockOf(vms));
        });
}

void capacity_keeper::readPrices(std::uint64_t turn, const stock &have)
{
    m_parts.cloud.listPrices([this, turn, have](const outcome<std::vector<cloud::vm_price>> &prices) {
        if (!current(turn) || !m_record) // a write that failed meanwhile drops the record
            return;
        for (const cloud::vm_price &each : prices ? prices.value() : std::vector<cloud::vm_price>())
            m_prices[{each.failureDomain, each.machineClass, each.kind}] = each.perHour;
        decide(have);
    });
}

capacity_keeper::stock capacity_keeper::stockOf(const std::vector<cloud::vm_record> &vms) const
{
    stock have;
    for (const cloud::vm_record &each : vms) {
        have.listed.insert(each.id);
        const bool stays = each.state == cloud::vm_state::live && !m_noticed.contains(each.id)
            && !m_released.contains(each.id);
        if (each.role == m_service.name && stays)
            have.live[{each.failureDomain, each.machineClass, each.kind}].push_back(each.id);
    }
    return have;
}

void capacity_keeper::settle(const stock &have)
{
    const time_point now = m_parts.tasks.now();
    const std::size_t before = m_record->pending.size();
    std::erase_if(m_record->pending, [&](const pending_start &each) {
        const auto [since, first] = m_pendingSince.try_emplace(each.token, now);
        const auto started = m_started.find(each.token);
        const bool listed = started != m_started.end() && have.listed.contains(started->second);
        return listed || now - since->second > m_options.appearLimit;
    });
    m_recordChanged = m_recordChanged || m_record->pending.size() != before;
    const auto gone = [&](const std::string &vm) { return !have.listed.contains(vm); };
    std::erase_if(m_noticed, gone);
    std::erase_if(m_released, gone);
    const auto settled = [&](const auto &entry) {
        return std::none_of(m_record->pending.begin(), m_record->pending.end(),
                            [&](const pending_start &each) { return each.token == entry.first; });
    };
    std::erase_if(m_pendingSince, settled);
    std::erase_if(m_started, settled);
}

double capacity_keeper::planned()
{
    if (m_service.retired)
        return 0.0;
    if (const std::optional<service_demand> seen = m_parts.demand.observed(m_service.name))
        m_estimate.observe(m_parts.tasks.now(), seen->requestsPerSecond);
    return std::max(m_service.leastRequestsPerSecond, m_estimate.planned().value_or(0.0));
}

double capacity_keeper::carried(const std::string &machineClass) const
{
    const std::optional<service_demand> seen = m_parts.demand.observed(m_service.name);
    for (const class_capacity &each : m_service.capacities) {
        if (each.machineClass != machineClass)
            continue;
        if (!seen || seen->tokensPerSecond <= 0.0 || each.tokensPerSecond <= 0.0)
            return each.requestsPerSecond;
        return std::min(each.requestsPerSecond,
                        each.tokensPerSecond * seen->requestsPerSecond / seen->tokensPerSecond);
    }
    return 0.0;
}

std::map<vm_type, std::uint32_t> capacity_keeper::counts(const stock &have) const
{
    std::map<vm_type, std::uint32_t> running;
    for (const auto &[type, vms] : have.live)
        running[type] += static_cast<std::uint32_t>(vms.size());
    for (const pending_start &each : m_record->pending)
        ++running[each.type];
    return running;
}

mix_question capacity_keeper::question(const stock &have)
{
    mix_question asked{planned(), m_service.budgetPerHour, {}};
    const std::map<vm_type, std::uint32_t> running = counts(have);
    for (const auto &[type, price] : m_prices) {
        const auto found = running.find(type);
        const double rate = carried(type.machineClass);
        if (rate > 0.0)
            asked.offers.push_back(
                {type, price, rate, found == running.end() ? 0 : found->second, m_backoff.allows(type)});
    }
    return asked;
}

void capacity_keeper::decide(const stock &have)
{
    settle(have);
    const mix_question asked = question(have);
    if (asked != m_asked) {
        m_mix = m_parts.policy.choose(asked);
        m_asked = asked;
    }
    report(asked, have);
    planStarts(counts(have));
    release(have);
    if (m_recordChanged)
        writeRecord();
    else
        orderPending();
}

void capacity_keeper::planStarts(const std::map<vm_type, std::uint32_t> &running)
{
    double cost = 0.0;
    for (const auto &[type, count] : running)
        cost += count * m_prices[type];
    std::size_t started = 0;
    m_missing = false;
    for (const auto &[type, wanted] : m_mix.counts) {
        const auto found = running.find(type);
        for (std::uint32_t have = found == running.end() ? 0 : found->second; have < wanted; ++have) {
            m_missing = true;
            const double price = m_prices[type];
            if (started == m_options.mostStarts || cost + price > m_service.budgetPerHour
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

void capacity_keeper::release(const stock &have)
{
    const time_point now = m_parts.tasks.now();
    double cost = 0.0;
    double missingCost = 0.0;
    const std::map<vm_type, std::uint32_t> running = counts(have);
    for (const auto &[type, count] : running) {
        const auto wanted = m_mix.counts.find(type);
        cost += count * m_prices[type];
        missingCost += wanted != m_mix.counts.end() && wanted->second > count
            ? (wanted->second - count) * m_prices[type]
            : 0.0;
    }
    // What replaces a VM runs first, unless the budget has no room for both.
    const bool replaced = !m_missing && m_record->pending.empty();
    const bool tooDear = cost + missingCost > m_service.budgetPerHour;
    for (const auto &[type, vms] : have.live) {
        const auto wanted = m_mix.counts.find(type);
        const std::size_t keep = wanted == m_mix.counts.end() ? 0 : wanted->second;
        if (vms.size() <= keep || !m_prices.contains(type) || carried(type.machineClass) <= 0.0) {
            m_surplusSince.erase(type);
            continue;
        }
        const time_point since = m_surplusSince.try_emplace(type, now).first->second;
        if ((!replaced && !tooDear) || now - since < m_options.releaseDelay)
            continue;
        for (std::size_t index = keep; index < vms.size(); ++index) {
            const std::string &vm = vms[index];
            m_released.insert(vm);
            m_parts.metrics.add("ivypier_vm_releases_total", {{"service", m_service.name}});
            log_event(log_level::info, "placement.release")
                .with("service", m_service.name)
                .with("vm", vm)
                .write();
            m_parts.cloud.releaseVm(vm, m_options.releaseNotice, [this, vm](const outcome<void> &answer) {
                if (!answer)
                    m_released.erase(vm); // counted again, and released again by a later turn
            });
        }
    }
}

void capacity_keeper::writeRecord()
{
    const std::uint64_t turn = m_turn;
    const std::uint64_t tenure = m_tenure;
    m_recordChanged = false;
    m_parts.table.write("placement/" + m_service.name, m_recordVersion, m_record->encode(),
                        [this, turn, tenure](const outcome<cloud::table_row> &written) {
                            if (tenure != m_tenure)
                                return;
                            if (!written) {
                                m_record.reset(); // read back at the next turn, whatever became of the write
                                return;
                            }
                            m_recordVersion = written.value().version;
                            if (current(turn) && m_record)
                                orderPending();
                        });
}

void capacity_keeper::orderPending()
{
    for (const pending_start &each : m_record->pending) {
        if (m_started.contains(each.token) || !m_ordering.insert(each.token).second)
            continue;
        const cloud::vm_order order{each.token, m_service.name, each.type.failureDomain,
                                    each.type.machineClass, each.type.kind};
        m_parts.cloud.startVm(order, [this, each](const outcome<cloud::vm_record> &answer) {
            m_ordering.erase(each.token);
            onStarted(each, answer);
        });
    }
}

void capacity_keeper::onStarted(const pending_start &ordered, const outcome<cloud::vm_record> &answer)
{
    m_parts.metrics.add("ivypier_vm_starts_total",
                        {{"service", m_service.name},
                         {"result", answer ? "started" : std::string(name(answer.error().code))}});
    if (answer) {
        m_started[ordered.token] = answer.value().id;
        m_backoff.succeeded(ordered.type);
        return;
    }
    if (answer.error().code != error_code::refused)
        return; // ordered again under the same token
    m_backoff.refused(ordered.type);
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

void capacity_keeper::report(const mix_question &asked, const stock &have)
{
    const metric_labels labels{{"service", m_service.name}};
    double running = 0.0;
    for (const auto &[type, vms] : have.live)
        running += static_cast<double>(vms.size());
    const bool before = m_parts.metrics.value("ivypier_placement_target_missed", labels) > 0.0;
    m_parts.metrics.set("ivypier_vms_live", labels, running);
    m_parts.metrics.set("ivypier_vms_pending", labels, static_cast<double>(m_record->pending.size()));
    m_parts.metrics.set("ivypier_placement_cost_per_hour", labels, m_mix.costPerHour);
    m_parts.metrics.set("ivypier_placement_demand_per_second", labels, asked.requestsPerSecond);
    m_parts.metrics.set("ivypier_placement_target_missed", labels, m_mix.inTarget ? 0.0 : 1.0);
    if (m_mix.inTarget != before)
        return;
    log_event(m_mix.inTarget ? log_level::info : log_level::warning,
              m_mix.inTarget ? "placement.target_kept" : "placement.target_missed")
        .with("service", m_service.name)
        .with("requests_per_second", asked.requestsPerSecond)
        .with("carried_per_second", m_mix.carriedRequestsPerSecond)
        .with("cost_per_hour", m_mix.costPerHour)
        .with("budget_per_hour", asked.budgetPerHour)
        .write();
}

} // namespace ivypier::placement
