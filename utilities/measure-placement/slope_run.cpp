#include "slope_run.h"

#include "base/json.h"
#include "base/virtual_scheduler.h"
#include "placement/capacity_controller.h"
#include "placement/cheapest_mix.h"
#include "placement/lease.h"
#include "placement/runner_controller.h"
#include "tests/fake_cloud.h"
#include "tests/fake_engines.h"
#include "tests/support/fake_table.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>

namespace ivypier::measure {

namespace {

using namespace placement;

constexpr double requests_per_second_per_vm = 4.0;
constexpr std::size_t large_fleet_domains = 21;
constexpr duration warm_up = std::chrono::minutes(5);
constexpr duration measurement_time = std::chrono::minutes(5);
constexpr double demand_variation = 0.05;

double cpuSeconds()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) / 1e9;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Wraps the fake cloud: decodes the VM list from JSON on every read and counts the calls.
class decoding_cloud final : public cloud::cloud_service
{
public:
    decoding_cloud(scheduler &tasks, tests::fake_cloud &cloud)
        : m_tasks(tasks)
        , m_cloud(cloud)
        , m_inner(tasks, cloud)
    {
    }

    void listVms(std::function<void(outcome<std::vector<cloud::vm_record>>)> done) override
    {
        ++calls;
        std::vector<cloud::vm_record> vms;
        const outcome<Json::Value> json = parseJson(vmListJson());
        for (const Json::Value &each : json ? json.value() : Json::Value()) {
            const outcome<endpoint> address = endpoint::parse(stringMember(each, "address"));
            vms.push_back({stringMember(each, "id"), stringMember(each, "role"),
                           address ? address.value() : endpoint(), stringMember(each, "failure_domain"),
                           stringMember(each, "machine_class"), cloud::vm_kind::reclaimable,
                           cloud::vm_state::live});
        }
        m_tasks.post([done = std::move(done), vms = std::move(vms)] { done(vms); });
    }

    void listPrices(std::function<void(outcome<std::vector<cloud::vm_price>>)> done) override
    {
        ++calls;
        m_inner.listPrices(std::move(done));
    }

    void startVm(const cloud::vm_order &order, std::function<void(outcome<cloud::vm_record>)> done) override
    {
        ++calls;
        m_inner.startVm(order, std::move(done));
    }

    void releaseVm(const std::string &id, duration notice, std::function<void(outcome<void>)> done) override
    {
        ++calls;
        m_inner.releaseVm(id, notice, std::move(done));
    }

    void listNotices(const std::string &vm,
                     std::function<void(outcome<std::vector<cloud::reclaim_notice>>)> done) override
    {
        ++calls;
        m_inner.listNotices(vm, std::move(done));
    }

    const std::string &vmListJson()
    {
        if (m_encodedVmCount == m_cloud.vms.size())
            return m_text;
        m_encodedVmCount = m_cloud.vms.size();
        Json::Value list(Json::arrayValue);
        for (const auto &[id, vm] : m_cloud.vms) {
            Json::Value json(Json::objectValue);
            json["id"] = vm.id;
            json["role"] = vm.role;
            json["address"] = vm.address.text();
            json["failure_domain"] = vm.failureDomain;
            json["machine_class"] = vm.machineClass;
            json["kind"] = "reclaimable";
            json["state"] = "live";
            list.append(json);
        }
        m_text = writeJson(list);
        return m_text;
    }

    std::size_t calls = 0;

private:
    scheduler &m_tasks;
    tests::fake_cloud &m_cloud;
    tests::fake_cloud_client m_inner;
    std::size_t m_encodedVmCount = 0;
    std::string m_text;
};

} // namespace

scaling_result measureScaling(std::size_t upstreams, std::uint64_t seed)
{
    virtual_scheduler virtualTime;
    seeded_random randomness(seed);
    tests::fake_table table(virtualTime, randomness);
    tests::fake_table_client tableClient(virtualTime, table);
    tests::fake_cloud cloud(virtualTime, randomness);
    decoding_cloud cloudClient(virtualTime, cloud);
    tests::fake_fleet fleet(virtualTime, randomness);
    tests::fake_engine_client engines(virtualTime, fleet);
    tests::fake_weight_store weights(virtualTime);
    tests::fake_demand demand;
    const std::size_t domains
        = std::min<std::size_t>(large_fleet_domains, std::max<std::size_t>(3, upstreams / 10));
    for (std::size_t index = 0; index < domains; ++index)
        cloud.prices[{"domain-" + std::to_string(index), "small", cloud::vm_kind::reclaimable}] = 0.4;
    std::vector<runner> runners;
    for (std::size_t index = 0; index < upstreams; ++index) {
        const endpoint address{"10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250),
                               9100};
        fleet.add(address, "tariff-model", "1");
        runners.push_back({"vm" + std::to_string(index), address});
        cloud.vms[runners.back().id] = {runners.back().id,
                                        "tariff",
                                        address,
                                        "domain-" + std::to_string(index % domains),
                                        "small",
                                        cloud::vm_kind::reclaimable,
                                        cloud::vm_state::live};
    }
    cloud.record();
    const double rate = static_cast<double>(upstreams) * requests_per_second_per_vm
        * (static_cast<double>(domains) - 1.0) / static_cast<double>(domains) / 1.2;
    const cheapest_mix policy({});
    metrics_registry metrics;

    const double heapBefore = heapBytes();
    lease_manager capacityLease(virtualTime, tableClient, "capacity/tariff", "planner",
                                std::chrono::seconds(10));
    lease_manager orderLease(virtualTime, tableClient, "orders/tariff", "planner", std::chrono::seconds(10));
    capacity_controller capacity(
        {virtualTime, randomness, tableClient, cloudClient, demand, policy, capacityLease, metrics},
        {"tariff", 1e9, 0.0, {{"small", requests_per_second_per_vm, 0.0}}}, {});
    runner_controller orders({virtualTime, randomness, engines, weights, orderLease, metrics}, {});
    orders.setDesiredState({"tariff", "tariff-model", "1", "", "", configuration::fencing_check::checked},
                           runners);
    demand.value = service_demand{rate, 0.0};
    capacityLease.start();
    orderLease.start();
    capacity.start();
    orders.start();
    virtualTime.advance(warm_up);
    const double heapAfter = heapBytes();

    const std::size_t callsBefore = cloudClient.calls + fleet.pollCount;
    const double begin = cpuSeconds();
    for (duration elapsed{}; elapsed < measurement_time; elapsed += std::chrono::seconds(5)) {
        demand.value = service_demand{rate * (1.0 - demand_variation * randomness.uniform()), 0.0};
        virtualTime.advance(std::chrono::seconds(5));
    }
    scaling_result result;
    result.cpuUtilization = (cpuSeconds() - begin) / seconds(measurement_time);
    result.memoryBytes = heapAfter - heapBefore;
    result.callsPerSecond
        = static_cast<double>(cloudClient.calls + fleet.pollCount - callsBefore) / seconds(measurement_time);
    result.vmListBytes = static_cast<double>(cloudClient.vmListJson().size());
    return result;
}

} // namespace ivypier::measure
