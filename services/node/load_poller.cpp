#include "load_poller.h"

namespace ivypier::node {

namespace {

constexpr duration poll_interval = std::chrono::milliseconds(100);
constexpr std::size_t max_polls_per_round = 8;

} // namespace

load_poller::load_poller(scheduler &tasks, random_source &randomness, routing::router &router,
                         upstream::model_engine &engines)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_router(router)
    , m_engines(engines)
{
}

void load_poller::start()
{
    m_tasks.after(fromSeconds(seconds(poll_interval) * (0.5 + m_random.uniform())), [this] { poll(); });
}

void load_poller::poll()
{
    for (const endpoint &each : m_router.upstreamsToPoll(max_polls_per_round))
        requestLoad(each);
    start();
}

void load_poller::requestLoad(const endpoint &engine)
{
    m_engines.readLoad(engine, [this, engine](const outcome<upstream::engine_load> &load) {
        if (!load) {
            m_lastEventSequences.erase(engine); // a restarted engine numbers its events from the start again
            return;
        }
        m_router.loadReported(engine, load.value());
        requestCacheEvents(engine);
    });
}

void load_poller::requestCacheEvents(const endpoint &engine)
{
    const auto onCacheEvents = [this, engine](const outcome<std::vector<upstream::cache_event>> &events) {
        if (!events || events.value().empty())
            return;
        m_lastEventSequences[engine] = events.value().back().sequence;
        m_router.cacheReported(engine, events.value());
    };
    m_engines.readCacheEvents(engine, m_lastEventSequences[engine], onCacheEvents);
}

} // namespace ivypier::node
