#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "routing/router.h"
#include "upstream/model_engine.h"

#include <map>

namespace ivypier::node {

/// Polls model engines for the load reports and cache events that the router needs. Each round polls a few
/// engines, and rounds follow at a jittered interval, so that nodes don't poll the same engine in lockstep.
class load_poller
{
public:
    load_poller(scheduler &tasks, random_source &randomness, routing::router &router,
                upstream::model_engine &engines);

    /// Schedules a poll after the jittered interval; each poll schedules the next one.
    void start();

private:
    void poll();
    void requestLoad(const endpoint &engine);
    void requestCacheEvents(const endpoint &engine);

    scheduler &m_tasks;
    random_source &m_random;
    routing::router &m_router;
    upstream::model_engine &m_engines;
    /// Sequence number of the newest cache event read from each engine.
    std::map<endpoint, std::uint64_t> m_lastEventSequences;
};

} // namespace ivypier::node
