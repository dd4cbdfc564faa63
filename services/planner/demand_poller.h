#pragma once

#include "base/random_source.h"
#include "base/task_poster.h"
#include "http/client.h"
#include "placement/demand_sampler.h"

#include <memory>
#include <vector>

namespace ivypier::planner {

/// Polls the counters in `/status` of the nodes, or of a sample of them in a large fleet.
class demand_poller
{
public:
    demand_poller(scheduler &tasks, random_source &randomness, std::shared_ptr<http::client> transport,
                  duration interval);

    /// Sets the nodes that serve callers.
    void setNodes(std::vector<endpoint> nodes);

    /// Starts to poll at the interval, while the poller is active.
    void start();

    /// Sets whether the nodes are polled (default: false).
    void setActive(bool active);

    /// Returns the demand computed from the polled counters.
    const placement::demand_source &demand() const;

private:
    void poll();
    void requestCounters(const endpoint &node);

    scheduler &m_tasks;
    task_poster m_poster;
    random_source &m_random;
    std::shared_ptr<http::client> m_transport;
    duration m_interval;
    placement::demand_sampler m_sampler;
    std::vector<endpoint> m_nodes;
    bool m_active = false;
};

} // namespace ivypier::planner
