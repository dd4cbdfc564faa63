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

/// A node's reading end of a stream.
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

    /// Runs `work` with the observer as a task of the node.
    void deliver(const std::function<void(upstream::generation_observer &)> &work, bool last)
    {
        m_node.post([self = shared_from_this(), work, last] {
            const auto observer = last ? std::exchange(self->m_observer, nullptr) : self->m_observer;
            if (observer)
                work(*observer);
        });
    }

    /// The observer, to deliver events that should not come any more.
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
                                         upstream_faults quality)
    : m_time(time)
    , m_random(randomness)
    , m_faults(quality)
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

void simulated_upstreams::leave(const endpoint &engine)
{
    m_draining.insert(engine);
}

virtual_scheduler &simulated_upstreams::time()
{
    return m_time;
}

random_source &simulated_upstreams::randomness()
{
    return m_random;
}

const upstream_faults &simulated_upstreams::quality() const
{
    return m_faults;
}

void simulated_upstreams::write(const std::string &attempt, bool plain)
{
    m_record.push_back({ticketOf(attempt), attempt, plain, m_time.now()});
}

void simulated_upstreams::produce(const std::shared_ptr<stream> &of)
{
    if (of->cancelled || of->produced == of->tokens.size())
        return;
    ++of->produced;
    push(of);
    m_time.after(token_interval, [this, of] { produce(of); });
}

void simulated_upstreams::push(const std::shared_ptr<stream> &of)
{
    const auto reader = of->reader.lock();
    if (!reader)
        return;
    if (m_random.uniform() < m_faults.breaks / 10) {
        const auto observer = reader->observer();
        reader->deliver(
            [](upstream::generation_observer &each) {
                each.onFailed({error_code::interrupted, "cut"});
            },
            true);
        of->reader.reset();
        if (observer && m_random.uniform() < m_faults.misdeliveryProbability) {
            const std::uint64_t next = of->sent;
            for (std::uint64_t index = 0; index < 3; ++index)
                m_time.after(token_interval * (index * 4 + 1), [reader, observer, next, index] {
                    reader->node().post(
                        [observer, next, index] { observer->onToken(next + index, "foreign "); });
                });
        }
        return;
    }
    for (; of->sent < of->produced; ++of->sent) {
        reader->deliver([index = of->sent, text = of->tokens[of->sent]](
                            upstream::generation_observer &each) { each.onToken(index, text); },
                        false);
    }
    if (of->sent < of->tokens.size())
        return;
    reader->deliver([](upstream::generation_observer &each) { each.onFinished({10, 0, 0}); }, true);
    of->reader.reset();
}

simulated_engines::simulated_engines(simulated_upstreams &world, scheduler &node)
    : m_upstreams(world)
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
    const bool refuses = m_upstreams.m_draining.contains(engine)
        || m_upstreams.m_random.uniform() < m_upstreams.m_faults.refuses;
    m_upstreams.m_time.after(token_interval / 2, [&world = m_upstreams, created, reader, refuses] {
        if (refuses) {
            reader->deliver(
                [](upstream::generation_observer &each) {
                    each.onFailed({error_code::refused, "full"});
                },
                true);
            return;
        }
        world.write(created->attempt, false);
        created->reader = reader;
        world.m_streams[created->id] = created;
        reader->deliver([id = created->id](upstream::generation_observer &each) { each.onStarted(id); },
                        false);
        world.m_time.after(token_interval, [&world, created] { world.produce(created); });
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
    m_upstreams.m_time.after(token_interval / 2, [&world = m_upstreams, resumed, reader, attempt, next] {
        const auto before = resumed->reader.lock();
        if (before)
            before->deliver(
                [](upstream::generation_observer &each) {
                    each.onFailed({error_code::interrupted, "another node reads it"});
                },
                true);
        resumed->attempt = attempt;
        resumed->reader = reader;
        resumed->sent = std::min<std::size_t>(next, resumed->produced);
        world.push(resumed);
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

simulated_services::simulated_services(simulated_upstreams &world, scheduler &node)
    : m_upstreams(world)
    , m_node(node)
{
}

void simulated_services::call(const endpoint &, const upstream::plain_call &what,
                              std::function<void(outcome<http::response>)> done)
{
    random_source &random = m_upstreams.m_random;
    const bool breaks = random.uniform() < m_upstreams.m_faults.breaks;
    const bool runs = !breaks || random.uniform() < 0.5;
    const bool refused = breaks && !runs && random.uniform() < 0.5;
    const duration taken = fromSeconds(random.uniform() * max_call_seconds);
    m_upstreams.m_time.after(
        taken, [&world = m_upstreams, &node = m_node, what, done = std::move(done), breaks, runs, refused] {
            if (runs)
                world.write(what.attempt, true);
            node.post([what, done, breaks, refused] {
                if (refused)
                    done(error{error_code::unavailable, "no connection"});
                else if (breaks)
                    done(error{error_code::interrupted, "cut"});
                else
                    done(http::response{
                        200, {{"Content-Type", "text/plain"}}, what.requestId + ' ' + what.body});
            });
        });
}

} // namespace ivypier::simulation
