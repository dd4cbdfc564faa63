#include "load_poller.h"

namespace ivypier::node {

namespace {

constexpr duration poll_interval = std::chrono::milliseconds(100);
constexpr std::size_t asked_at_once = 8;

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
    for (const endpoint &each : m_router.upstreamsToPoll(asked_at_once))
        ask(each);
    start();
}

void load_poller::ask(const endpoint &engine)
{
    m_engines.readLoad(engine, [this, engine](const outcome<upstream::engine_load> &load) {
        if (!load) {
            m_lastEvents.erase(engine); // it may restart, and number its events anew
            return;
        }
        m_router.loadReported(engine, load.value());
        askForEvents(engine);
    });
}

void load_poller::askForEvents(const endpoint &engine)
{
    const auto answered = [this, engine](const outcome<std::vector<upstream::cache_event>> &events) {
        if (!events || events.value().empty())
            return;
        m_lastEvents[engine] = events.value().back().sequence;
        m_router.cacheReported(engine, events.value());
    };
    m_engines.readCacheEvents(engine, m_lastEvents[engine], answered);
}

} // namespace ivypier::node
