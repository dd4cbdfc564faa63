#include "delivery/rollout_controller.h"

#include <utility>

namespace ivypier::delivery {

rollout_controller::rollout_controller(scheduler &tasks, cloud::table_service &table,
                                       rollout_status_table &statusTable, announcer announce)
    : m_tasks(tasks)
    , m_table(table)
    , m_statusTable(statusTable)
    , m_announce(std::move(announce))
{
}

void rollout_controller::setLimits(rollout_limits limits)
{
    m_limits = limits;
}

void rollout_controller::setOrders(const std::vector<rollout_order> &)
{
}

void rollout_controller::poll(const rollout_input &)
{
}

void rollout_controller::noteStatus(const rollout_status &)
{
}

void rollout_controller::stop(const std::string &)
{
}

std::vector<rollout_controller::view> rollout_controller::views() const
{
    return {};
}

} // namespace ivypier::delivery
