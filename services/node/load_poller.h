#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "routing/router.h"
#include "upstream/model_engine.h"

#include <map>

namespace ivypier::node {

/// Asks engines for the load and the cache events that the router wants, a few at a time and at a jittered
/// interval, so that the nodes' questions don't meet at one engine.
class load_poller
{
public:
    load_poller(scheduler &tasks, random_source &randomness, routing::router &router,
                upstream::model_engine &engines);

    void start();

private:
    void poll();
    void requestLoad(const endpoint &engine);
    void requestCacheEvents(const endpoint &engine);

    scheduler &m_tasks;
    random_source &m_random;
    routing::router &m_router;
    upstream::model_engine &m_engines;
    std::map<endpoint, std::uint64_t> m_lastEventSequences; ///< sequence of the newest cache event read
};

} // namespace ivypier::node
