#pragma once

#include "base/scheduler.h"
#include "cloud/cloud_service.h"

#include <functional>
#include <map>
#include <tuple>

namespace ivypier::node {

/// Polls the cloud's VM prices and looks up the price of a VM.
class price_list
{
public:
    price_list(scheduler &tasks, cloud::cloud_service &cloud, std::function<std::size_t()> fleetSize);

    /// Starts polling, at an interval that grows with the fleet so that the request rate of all nodes
    /// together stays bounded. Calls `onChanged` after each poll that returned different prices.
    void start(std::function<void()> onChanged);

    /// Returns what a VM costs per hour, in the deployment's currency; 0 if the cloud lists no price for it.
    double hourlyPrice(const cloud::vm_record &vm) const;

private:
    using price_key = std::tuple<std::string, std::string, cloud::vm_kind>;

    void poll();

    scheduler &m_tasks;
    cloud::cloud_service &m_cloud;
    std::function<std::size_t()> m_fleetSize;
    std::function<void()> m_onChanged;
    std::map<price_key, double> m_prices;
};

} // namespace ivypier::node
