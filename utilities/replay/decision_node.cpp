#include "decision_node.h"

#include "admission/budget_retry.h"
#include "admission/deadline_admission.h"
#include "admission/early_refusal_admission.h"
#include "admission/open_admission.h"
#include "routing/expected_time_router.h"
#include "routing/least_dispatched_router.h"
#include "routing/least_reported_router.h"
#include "routing/round_robin_router.h"

namespace ivypier::replay {

namespace {

constexpr std::size_t domain_count = 3;

std::unique_ptr<routing::router> makeRouter(const scheduler &tasks, random_source &randomness,
                                            const replay_plan &plan, std::size_t index)
{
    switch (plan.routing) {
    case routing_policy::round_robin:
        return std::make_unique<routing::round_robin_router>();
    case routing_policy::least_reported:
        return std::make_unique<routing::least_reported_router>();
    case routing_policy::least_dispatched:
        return std::make_unique<routing::least_dispatched_router>();
    case routing_policy::expected_time:
    case routing_policy::expected_time_no_prefixes:
        break;
    }
    routing::expected_time_settings settings;
    settings.node = "node-" + std::to_string(index);
    settings.failureDomain = decision_node::failureDomain(index);
    settings.reportLag = plan.routerKnowsReportDelay ? plan.reportDelay : duration::zero();
    settings.sampledCandidates = plan.sampledCandidates;
    settings.usePrefixes = plan.routing == routing_policy::expected_time;
    return std::make_unique<routing::expected_time_router>(tasks, randomness, settings);
}

std::unique_ptr<admission::admission_policy> makeAdmission(admission_choice choice, random_source &randomness)
{
    switch (choice) {
    case admission_choice::deadline:
        return std::make_unique<admission::deadline_admission>(randomness);
    case admission_choice::early_refusal:
        return std::make_unique<admission::early_refusal_admission>(randomness);
    case admission_choice::none:
        break;
    }
    return std::make_unique<admission::open_admission>();
}

} // namespace

decision_node::decision_node(const scheduler &tasks, const replay_plan &plan, std::size_t index)
    : m_random(plan.seed * 1000 + index)
    , m_router(makeRouter(tasks, m_random, plan, index))
    , m_admission(makeAdmission(plan.admission, m_random))
    , m_retries(std::make_unique<admission::budget_retry>(m_random))
{
}

routing::router &decision_node::router()
{
    return *m_router;
}

admission::admission_policy &decision_node::admission()
{
    return *m_admission;
}

admission::retry_policy &decision_node::retries()
{
    return *m_retries;
}

random_source &decision_node::randomness()
{
    return m_random;
}

std::string decision_node::failureDomain(std::size_t index)
{
    return "domain-" + std::to_string(index % domain_count);
}

} // namespace ivypier::replay
