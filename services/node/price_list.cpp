#include "price_list.h"

#include <algorithm>

namespace ivypier::node {

namespace {

constexpr duration min_poll_interval = std::chrono::seconds(10);
/// Limit on price list requests of the whole fleet.
constexpr double max_fleet_reads_per_second = 20.0;

} // namespace

price_list::price_list(scheduler &tasks, cloud::cloud_service &cloud, std::function<std::size_t()> fleetSize)
    : m_tasks(tasks)
    , m_cloud(cloud)
    , m_fleetSize(std::move(fleetSize))
{
}

void price_list::start(std::function<void()> onChanged)
{
    m_onChanged = std::move(onChanged);
    poll();
}

double price_list::hourlyPrice(const cloud::vm_record &vm) const
{
    const auto found = m_prices.find({vm.failureDomain, vm.machineClass, vm.kind});
    return found == m_prices.end() ? 0.0 : found->second;
}

void price_list::poll()
{
    m_cloud.listPrices([this](const outcome<std::vector<cloud::vm_price>> &listed) {
        std::map<price_key, double> prices;
        for (const cloud::vm_price &each : listed ? listed.value() : std::vector<cloud::vm_price>())
            prices[{each.failureDomain, each.machineClass, each.kind}] = each.perHour;
        if (listed && prices != m_prices) {
            m_prices = std::move(prices);
            m_onChanged();
        }
        const double fleetInterval = static_cast<double>(m_fleetSize()) / max_fleet_reads_per_second;
        m_tasks.after(std::max(min_poll_interval, fromSeconds(fleetInterval)), [this] { poll(); });
    });
}

} // namespace ivypier::node
