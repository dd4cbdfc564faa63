#include "service_duties.h"

#include "placement/duty_candidates.h"

namespace ivypier::planner {

service_duties::service_duties(const dependencies &collaborators, const configuration::service &service)
    : m_dependencies(collaborators)
    , m_service(service)
    , m_capacityLease(collaborators.tasks, collaborators.table, "capacity/" + service.name,
                      collaborators.holder, collaborators.settings.leaseTerm)
    , m_orderLease(collaborators.tasks, collaborators.table, "orders/" + service.name, collaborators.holder,
                   collaborators.settings.leaseTerm)
    , m_capacity({collaborators.tasks, collaborators.randomness, collaborators.table, collaborators.cloud,
                  collaborators.demand, collaborators.policy, m_capacityLease, collaborators.metrics},
                 plannedService(), collaborators.settings.capacity)
    , m_orders({collaborators.tasks, collaborators.randomness, collaborators.engines, collaborators.weights,
                m_orderLease, collaborators.metrics},
               collaborators.settings.orders)
{
}

void service_duties::start()
{
    if (!plannedService().capacities.empty()) {
        m_capacityLease.start();
        m_capacity.start();
    }
    if (m_service.kind != configuration::service_kind::model)
        return;
    m_orderLease.start();
    m_orders.start();
}

placement::planned_service service_duties::plannedService() const
{
    const planner_settings &settings = m_dependencies.settings;
    placement::planned_service result;
    result.name = m_service.name;
    result.budgetPerHour = m_service.budgetPerHour;
    result.retired = m_retired;
    const auto minimum = settings.minRequestsPerSecond.find(m_service.name);
    if (minimum != settings.minRequestsPerSecond.end())
        result.minRequestsPerSecond = minimum->second;
    const auto capacities = settings.capacities.find(m_service.name);
    if (capacities != settings.capacities.end())
        result.capacities = capacities->second;
    return result;
}

placement::desired_state service_duties::desiredState() const
{
    return {m_service.name, m_service.model, m_service.modelVersion, "", "", m_service.fencing};
}

void service_duties::setService(const configuration::service &service)
{
    m_service = service;
    m_retired = false;
    m_capacity.setService(plannedService());
    m_orders.setDesiredState(desiredState(), m_runners);
}

void service_duties::retire()
{
    m_retired = true;
    m_capacity.setService(plannedService());
    setRunners({});
}

void service_duties::setRunners(const std::vector<placement::runner> &runners)
{
    m_runners = m_retired ? std::vector<placement::runner>() : runners;
    m_orders.setDesiredState(desiredState(), m_runners);
}

void service_duties::setPlanners(const std::string &self, const std::vector<std::string> &planners)
{
    for (placement::lease_manager *each : {&m_capacityLease, &m_orderLease})
        each->setEligible(
            placement::isCandidate(each->name(), self, planners, m_dependencies.settings.candidates));
}

void service_duties::release(const std::function<void()> &done)
{
    m_capacityLease.release(done);
    m_orderLease.release(done);
}

const placement::lease_manager &service_duties::capacityLease() const
{
    return m_capacityLease;
}

const placement::lease_manager &service_duties::orderLease() const
{
    return m_orderLease;
}

const placement::vm_mix &service_duties::mix() const
{
    return m_capacity.mix();
}

} // namespace ivypier::planner
