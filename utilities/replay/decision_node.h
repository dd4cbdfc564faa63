#pragma once

#include "admission/admission_policy.h"
#include "admission/retry_policy.h"
#include "base/random_source.h"
#include "base/scheduler.h"
#include "replay_plan.h"
#include "routing/router.h"

#include <memory>

namespace ivypier::replay {

/// Routing, admission and retry policies of one node; the same code as in the daemon.
class decision_node
{
public:
    decision_node(const scheduler &tasks, const replay_plan &plan, std::size_t index);

    routing::router &router();
    admission::admission_policy &admission();
    admission::retry_policy &retries();
    random_source &randomness();

    /// Returns the failure domain of the node or runner with this index.
    static std::string failureDomain(std::size_t index);

private:
    seeded_random m_random;
    std::unique_ptr<routing::router> m_router;
    std::unique_ptr<admission::admission_policy> m_admission;
    std::unique_ptr<admission::retry_policy> m_retries;
};

} // namespace ivypier::replay
