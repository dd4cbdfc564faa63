#include "cost_run.h"

#include "placement/capacity_controller.h"
#include "placement/lease.h"
#include "tests/fake_cloud.h"
#include "tests/support/fake_table.h"

#include "base/virtual_scheduler.h"

#include <algorithm>

namespace ivypier::measure {

namespace {

using namespace placement;
using cloud::vm_kind;

constexpr duration step = std::chrono::seconds(10);
constexpr double seconds_per_hour = 3600.0;
constexpr double small_requests_per_second = 4.0;
constexpr double large_requests_per_second = 9.0;
constexpr double budget_per_hour = 60.0;
constexpr duration reclaim_notice = std::chrono::seconds(30);

double vmCapacity(const std::string &machineClass)
{
    return machineClass == "small" ? small_requests_per_second : large_requests_per_second;
}

planned_service plannedService()
{
    return {"tariff",
            budget_per_hour,
            0.0,
            {{"small", small_requests_per_second, 0.0}, {"large", large_requests_per_second, 0.0}}};
}

/// Simulates one planner against a cloud that follows the trace.
class simulation
{
public:
    simulation(const price_trace &trace, const mix_policy &policy, std::uint64_t seed)
        : m_trace(trace)
        , m_random(seed)
        , m_keeper(
              {m_virtualTime, m_random, m_tableClient, m_cloudClient, m_demand, policy, m_lease, m_metrics},
              plannedService(), {})
    {
        m_cloud.refuses = [this](const vm_type &type) { return refuses(type); };
        m_lease.start();
    }

    cost_result execute()
    {
        const double total = m_trace.hours() * seconds_per_hour;
        setInputs();
        m_keeper.start();
        std::size_t nextWave = 0;
        while (now() < total) {
            if (nextWave < m_trace.waves.size() && now() >= m_trace.waves[nextWave].atSeconds)
                reclaim(m_trace.waves[nextWave++]);
            setInputs();
            m_virtualTime.advance(step);
            // The warm-up, when no VM runs yet, is the same for every policy and isn't counted.
            if (now() > warm_up_seconds)
                recordStep();
        }
        m_result.started = m_cloud.started;
        m_result.refused = m_cloud.refusals;
        m_result.underCapacityFraction /= static_cast<double>(m_steps);
        m_result.unprotectedFraction /= static_cast<double>(m_steps);
        return m_result;
    }

    static constexpr double warm_up_seconds = 600.0;

private:
    double now() const
    {
        return seconds(m_virtualTime.now().time_since_epoch());
    }

    void setInputs()
    {
        m_demand.value = service_demand{m_trace.demandAt(now()), 0.0};
        for (const auto &[type, prices] : m_trace.pricesPerHour)
            m_cloud.prices[type] = m_trace.priceAt(type, now());
    }

    bool refuses(const vm_type &type) const
    {
        return std::any_of(m_trace.waves.begin(), m_trace.waves.end(), [&](const reclaim_wave &each) {
            const bool matchesDomain = each.failureDomain.empty() || each.failureDomain == type.failureDomain;
            const bool matchesKind = each.fraction >= 1.0 || type.kind == vm_kind::reclaimable;
            return matchesDomain && matchesKind && now() >= each.atSeconds
                && now() < each.atSeconds + each.refusedSeconds;
        });
    }

    void reclaim(const reclaim_wave &wave)
    {
        m_cloud.reclaim(reclaim_notice, [&](const cloud::vm_record &vm) {
            const bool matchesDomain = wave.failureDomain.empty() || wave.failureDomain == vm.failureDomain;
            const bool matchesKind = wave.fraction >= 1.0 || vm.kind == vm_kind::reclaimable;
            return matchesDomain && matchesKind && m_random.uniform() < wave.fraction;
        });
    }

    void recordStep()
    {
        double total = 0.0;
        std::map<std::string, double> byDomain;
        std::set<std::string> running;
        for (const auto &[id, vm] : m_cloud.vms) {
            running.insert(id);
            m_result.cost += m_trace.priceAt({vm.failureDomain, vm.machineClass, vm.kind}, now())
                * seconds(step) / seconds_per_hour;
            if (vm.state != cloud::vm_state::live)
                continue;
            total += vmCapacity(vm.machineClass);
            byDomain[vm.failureDomain] += vmCapacity(vm.machineClass);
        }
        m_listedVms.insert(running.begin(), running.end());
        // A VM is billed while it starts, before it is listed.
        for (const auto &[token, vm] : m_cloud.byToken) {
            if (!m_listedVms.contains(vm.id))
                m_result.cost += m_trace.priceAt({vm.failureDomain, vm.machineClass, vm.kind}, now())
                    * seconds(step) / seconds_per_hour;
        }
        double largest = 0.0;
        for (const auto &[domain, each] : byDomain)
            largest = std::max(largest, each);
        const double demand = m_trace.demandAt(now() - seconds(step));
        ++m_steps;
        m_result.underCapacityFraction += total < demand ? 1.0 : 0.0;
        m_result.unprotectedFraction += total - largest < demand ? 1.0 : 0.0;
    }

    const price_trace &m_trace;
    virtual_scheduler m_virtualTime;
    seeded_random m_random;
    tests::fake_table m_table{m_virtualTime, m_random};
    tests::fake_table_client m_tableClient{m_virtualTime, m_table};
    tests::fake_cloud m_cloud{m_virtualTime, m_random};
    tests::fake_cloud_client m_cloudClient{m_virtualTime, m_cloud};
    tests::fake_demand m_demand;
    metrics_registry m_metrics;
    lease_manager m_lease{m_virtualTime, m_tableClient, "capacity/tariff", "planner",
                          std::chrono::seconds(10)};
    capacity_controller m_keeper;
    std::set<std::string> m_listedVms;
    cost_result m_result;
    std::size_t m_steps = 0;
};

} // namespace

cost_result runPlanner(const price_trace &trace, const mix_policy &policy, std::uint64_t seed)
{
    return simulation(trace, policy, seed).execute();
}

double hindsightCost(const price_trace &trace, double periodSeconds)
{
    const cheapest_mix policy({.startPremium = 0.0});
    double cost = 0.0;
    for (double at = 0.0; at < trace.hours() * seconds_per_hour; at += periodSeconds) {
        mix_request request{0.0, budget_per_hour, {}};
        for (double each = at; each < at + periodSeconds; each += trace.stepSeconds)
            request.requestsPerSecond = std::max(request.requestsPerSecond, trace.demandAt(each));
        for (const auto &[type, prices] : trace.pricesPerHour)
            request.offers.push_back({type, trace.priceAt(type, at), vmCapacity(type.machineClass), 0, true});
        const double from = std::max(at, simulation::warm_up_seconds);
        cost += policy.choose(request).costPerHour * std::max(0.0, at + periodSeconds - from)
            / seconds_per_hour;
    }
    return cost;
}

} // namespace ivypier::measure
