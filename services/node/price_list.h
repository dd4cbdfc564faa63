#pragma once

#include "base/scheduler.h"
#include "cloud/cloud_service.h"

#include <functional>
#include <map>
#include <tuple>

namespace ivypier::node {

/// Follows the cloud's prices, so that a VM of its list has a price.
class price_list
{
public:
    price_list(scheduler &tasks, cloud::cloud_service &cloud, std::function<std::size_t()> fleetSize);

    /// Starts to poll, so seldom that the fleet as a whole stays under a fixed rate. `onChanged` is called
    /// after prices onChanged.
    void start(std::function<void()> onChanged);

    /// What a VM costs, in the deployment's currency; 0 when the cloud names no price for its kind.
    double perHour(const cloud::vm_record &vm) const;

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
