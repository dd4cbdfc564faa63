#include "service_duties.h"

#include "placement/duty_candidates.h"

namespace ivypier::planner {

service_duties::service_duties(const parts &given, const configuration::service &service)
    : m_parts(given)
    , m_service(service)
    , m_capacityLease(given.tasks, given.table, "capacity/" + service.name, given.holder,
                      given.settings.leaseTerm)
    , m_orderLease(given.tasks, given.table, "orders/" + service.name, given.holder, given.settings.leaseTerm)
    , m_capacity({given.tasks, given.randomness, given.table, given.cloud, given.demand, given.policy,
                  m_capacityLease, given.metrics},
                 planned(), given.settings.capacity)
    , m_orders({given.tasks, given.randomness, given.engines, given.weights, m_orderLease, given.metrics},
               given.settings.orders)
{
}

void service_duties::start()
{
    if (!planned().capacities.empty()) {
        m_capacityLease.start();
        m_capacity.start();
    }
    if (m_service.kind != configuration::service_kind::model)
        return;
    m_orderLease.start();
    m_orders.start();
}

placement::planned_service service_duties::planned() const
{
    const planner_settings &settings = m_parts.settings;
    placement::planned_service result;
    result.name = m_service.name;
    result.budgetPerHour = m_service.budgetPerHour;
    result.retired = m_retired;
    const auto least = settings.leastRequestsPerSecond.find(m_service.name);
    if (least != settings.leastRequestsPerSecond.end())
        result.leastRequestsPerSecond = least->second;
    const auto capacities = settings.capacities.find(m_service.name);
    if (capacities != settings.capacities.end())
        result.capacities = capacities->second;
    return result;
}

placement::wanted_state service_duties::wanted() const
{
    return {m_service.name, m_service.model, m_service.modelVersion, "", "", m_service.fencing};
}

void service_duties::setService(const configuration::service &service)
{
    m_service = service;
    m_retired = false;
    m_capacity.setService(planned());
    m_orders.setWanted(wanted(), m_runners);
}

void service_duties::retire()
{
    m_retired = true;
    m_capacity.setService(planned());
    setRunners({});
}

void service_duties::setRunners(const std::vector<placement::runner> &runners)
{
    m_runners = m_retired ? std::vector<placement::runner>() : runners;
    m_orders.setWanted(wanted(), m_runners);
}

void service_duties::setPlanners(const std::string &self, const std::vector<std::string> &planners)
{
    for (placement::lease_keeper *each : {&m_capacityLease, &m_orderLease})
        each->setEligible(placement::isCandidate(each->name(), self, planners, m_parts.settings.candidates));
}

void service_duties::release(const std::function<void()> &done)
{
    m_capacityLease.release(done);
    m_orderLease.release(done);
}

const placement::lease_keeper &service_duties::capacityLease() const
{
    return m_capacityLease;
}

const placement::lease_keeper &service_duties::orderLease() const
{
    return m_orderLease;
}

const placement::vm_mix &service_duties::mix() const
{
    return m_capacity.mix();
}

} // namespace ivypier::planner
