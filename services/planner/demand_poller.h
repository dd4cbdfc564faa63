#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "http/client.h"
#include "placement/demand_sampler.h"

#include <memory>
#include <vector>

namespace ivypier::planner {

/// Reads the counters of `/status` at the nodes, at a sample of them when they are many.
class demand_poller
{
public:
    demand_poller(scheduler &tasks, random_source &randomness, std::shared_ptr<http::client> transport,
                  duration interval);

    /// The nodes that serve callers.
    void setNodes(std::vector<endpoint> nodes);

    /// Asks the nodes now and at the interval while `active`.
    void start();
    void setActive(bool active);

    const placement::demand_source &demand() const;

private:
    void poll();
    void requestCounters(const endpoint &node);

    scheduler &m_tasks;
    random_source &m_random;
    std::shared_ptr<http::client> m_transport;
    duration m_interval;
    placement::demand_sampler m_sampler;
    std::vector<endpoint> m_nodes;
    bool m_active = false;
};

} // namespace ivypier::planner
