#include "simulated_upstreams.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace ivypier::simulation {

namespace {

constexpr duration token_interval = std::chrono::milliseconds(30);
constexpr double max_call_seconds = 0.4;

std::string ticketOf(const std::string &attempt)
{
    return attempt.substr(0, attempt.find('/'));
}

} // namespace

/// A node's connection to a stream of tokens.
class simulated_generation final : public upstream::generation,
                                   public std::enable_shared_from_this<simulated_generation>
{
public:
    simulated_generation(scheduler &node, std::shared_ptr<upstream::generation_observer> observer,
                         std::function<void()> stop)
        : m_node(node)
        , m_observer(std::move(observer))
        , m_stop(std::move(stop))
    {
    }

    void cancel() override
    {
        detach();
        if (m_stop)
            m_stop();
    }

    void detach() override
    {
        m_observer.reset();
    }

    /// Calls `work` with the observer in a task of the node. After the `last` call the observer is released.
    void deliver(const std::function<void(upstream::generation_observer &)> &work, bool last)
    {
        m_node.post([self = shared_from_this(), work, last] {
            const auto observer = last ? std::exchange(self->m_observer, nullptr) : self->m_observer;
            if (observer)
                work(*observer);
        });
    }

    /// Returns the observer, so that events can be delivered to it after its stream has failed.
    std::shared_ptr<upstream::generation_observer> observer() const
    {
        return m_observer;
    }

    scheduler &node()
    {
        return m_node;
    }

private:
    scheduler &m_node;
    std::shared_ptr<upstream::generation_observer> m_observer;
    std::function<void()> m_stop;
};

simulated_upstreams::simulated_upstreams(virtual_scheduler &time, random_source &randomness,
                                         upstream_faults faults)
    : m_time(time)
    , m_random(randomness)
    , m_faults(faults)
{
}

const std::vector<upstream_event> &simulated_upstreams::record() const
{
    return m_record;
}

std::vector<std::string> simulated_upstreams::generateTokens(const std::string &body)
{
    const std::uint64_t seed = hash64(body);
    std::vector<std::string> tokens;
    for (std::uint64_t index = 0; index < 5 + seed % 30; ++index)
        tokens.push_back(toHex(hash64(std::to_string(index), seed)).substr(0, 6) + ' ');
    return tokens;
}

void simulated_upstreams::drain(const endpoint &engine)
{
    m_leaving.insert(engine);
}

virtual_scheduler &simulated_upstreams::time()
{
    return m_time;
}

random_source &simulated_upstreams::randomness()
{
    return m_random;
}

const upstream_faults &simulated_upstreams::faults() const
{
    return m_faults;
}

void simulated_upstreams::recordRun(const std::string &attempt, bool plain)
{
    m_record.push_back({ticketOf(attempt), attempt, plain, m_time.now()});
}

void simulated_upstreams::produceToken(const std::shared_ptr<stream> &source)
{
    if (source->cancelled || source->produced == source->tokens.size())
        return;
    ++source->produced;
    deliverTokens(source);
    m_time.after(token_interval, [this, source] { produceToken(source); });
}

void simulated_upstreams::deliverTokens(const std::shared_ptr<stream> &source)
{
    const auto reader = source->reader.lock();
    if (!reader)
        return;
    if (m_random.uniform() < m_faults.interruptionProbability / 10) {
        const auto observer = reader->observer();
        reader->deliver(
            [](upstream::generation_observer &each) {
                each.onFailed({error_code::interrupted, "cut"});
            },
            true);
        source->reader.reset();
        if (observer && m_random.uniform() < m_faults.misdeliveryProbability) {
            const std::uint64_t next = source->sent;
            for (std::uint64_t index = 0; index < 3; ++index)
                m_time.after(token_interval * (index * 4 + 1), [reader, observer, next, index] {
                    reader->node().post(
                        [observer, next, index] { observer->onToken(next + index, "foreign "); });
                });
        }
        return;
    }
    for (; source->sent < source->produced; ++source->sent) {
        reader->deliver([index = source->sent, text = source->tokens[source->sent]](
                            upstream::generation_observer &each) { each.onToken(index, text); },
                        false);
    }
    if (source->sent < source->tokens.size())
        return;
    reader->deliver([](upstream::generation_observer &each) { each.onFinished({10, 0, 0}); }, true);
    source->reader.reset();
}

simulated_engines::simulated_engines(simulated_upstreams &upstreams, scheduler &node)
    : m_upstreams(upstreams)
    , m_node(node)
{
}

std::shared_ptr<upstream::generation>
simulated_engines::start(const endpoint &engine, const upstream::generation_request &request,
                         std::shared_ptr<upstream::generation_observer> observer)
{
    auto created = std::make_shared<simulated_upstreams::stream>();
    created->id = "stream-" + std::to_string(m_upstreams.m_nextStream++);
    created->attempt = request.attempt;
    created->tokens = simulated_upstreams::generateTokens(request.body);
    created->produced = created->sent
        = std::min<std::size_t>(request.deliveredTokens, created->tokens.size());
    auto reader = std::make_shared<simulated_generation>(m_node, std::move(observer),
                                                         [created] { created->cancelled = true; });
    const bool refused = m_upstreams.m_leaving.contains(engine)
        || m_upstreams.m_random.uniform() < m_upstreams.m_faults.refusalProbability;
    m_upstreams.m_time.after(token_interval / 2, [&upstreams = m_upstreams, created, reader, refused] {
        if (refused) {
            reader->deliver(
                [](upstream::generation_observer &each) {
                    each.onFailed({error_code::refused, "full"});
                },
                true);
            return;
        }
        upstreams.recordRun(created->attempt, false);
        created->reader = reader;
        upstreams.m_streams[created->id] = created;
        reader->deliver([id = created->id](upstream::generation_observer &each) { each.onStarted(id); },
                        false);
        upstreams.m_time.after(token_interval, [&upstreams, created] { upstreams.produceToken(created); });
    });
    return reader;
}

std::shared_ptr<upstream::generation>
simulated_engines::resume(const endpoint &, const std::string &stream, const std::string &attempt,
                          std::uint64_t next, std::shared_ptr<upstream::generation_observer> observer)
{
    const auto found = m_upstreams.m_streams.find(stream);
    if (found == m_upstreams.m_streams.end() || found->second->cancelled) {
        auto reader = std::make_shared<simulated_generation>(m_node, std::move(observer), nullptr);
        reader->deliver(
            [](upstream::generation_observer &each) {
                each.onFailed({error_code::interrupted, "no such stream"});
            },
            true);
        return reader;
    }
    const auto resumed = found->second;
    auto reader = std::make_shared<simulated_generation>(m_node, std::move(observer),
                                                         [resumed] { resumed->cancelled = true; });
    m_upstreams.m_time.after(token_interval / 2, [&upstreams = m_upstreams, resumed, reader, attempt, next] {
        const auto previousReader = resumed->reader.lock();
        if (previousReader)
            previousReader->deliver(
                [](upstream::generation_observer &each) {
                    each.onFailed({error_code::interrupted, "another node took over the stream"});
                },
                true);
        resumed->attempt = attempt;
        resumed->reader = reader;
        resumed->sent = std::min<std::size_t>(next, resumed->produced);
        upstreams.deliverTokens(resumed);
    });
    return reader;
}

void simulated_engines::exportCache(const endpoint &, const std::string &stream,
                                    std::function<void(outcome<std::string>)> done)
{
    m_node.after(token_interval, [done = std::move(done), stream] { done("handle of " + stream); });
}

void simulated_engines::readLoad(const endpoint &, std::function<void(outcome<upstream::engine_load>)> done)
{
    done(error{error_code::unavailable, "not simulated"});
}

void simulated_engines::readCacheEvents(const endpoint &, std::uint64_t,
                                        std::function<void(outcome<std::vector<upstream::cache_event>>)> done)
{
    done(error{error_code::unavailable, "not simulated"});
}

void simulated_engines::order(const endpoint &, const upstream::engine_order &,
                              std::function<void(outcome<void>)> done)
{
    done(error{error_code::unavailable, "not simulated"});
}

simulated_services::simulated_services(simulated_upstreams &upstreams, scheduler &node)
    : m_upstreams(upstreams)
    , m_node(node)
{
}

void simulated_services::call(const endpoint &, const upstream::plain_call &request,
                              std::function<void(outcome<http::response>)> done)
{
    random_source &random = m_upstreams.m_random;
    const bool interrupted = random.uniform() < m_upstreams.m_faults.interruptionProbability;
    const bool runs = !interrupted || random.uniform() < 0.5;
    const bool refused = interrupted && !runs && random.uniform() < 0.5;
    const duration callDuration = fromSeconds(random.uniform() * max_call_seconds);
    m_upstreams.m_time.after(callDuration,
                             [&upstreams = m_upstreams, &node = m_node, request, done = std::move(done),
                              interrupted, runs, refused] {
                                 if (runs)
                                     upstreams.recordRun(request.attempt, true);
                                 node.post([request, done, interrupted, refused] {
                                     if (refused)
                                         done(error{error_code::unavailable, "no connection"});
                                     else if (interrupted)
                                         done(error{error_code::interrupted, "cut"});
                                     else
                                         done(http::response{200,
                                                             {{"Content-Type", "text/plain"}},
                                                             request.requestId + ' ' + request.body});
                                 });
                             });
}

} // namespace ivypier::simulation
