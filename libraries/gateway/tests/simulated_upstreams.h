#pragma once

#include "base/random_source.h"
#include "base/virtual_scheduler.h"
#include "upstream/model_engine.h"
#include "upstream/plain_service.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ivypier::simulation {

/// A run of a request, as recorded by the upstream.
struct upstream_event
{
    std::string request; ///< key of the request's ticket
    std::string attempt;
    bool plain = false;
    time_point at{};
};

/// Probabilities of upstream faults.
struct upstream_faults
{
    double refusalProbability = 0.0;
    /// Per attempt at a plain service, before or after it ran; a tenth of it per delivery of a stream.
    double interruptionProbability = 0.0;
    /// Per interrupted stream: later events still arrive, with the text of another request.
    double misdeliveryProbability = 0.0;
};

/// The engines and plain services of a simulated deployment, with a record of everything they ran.
class simulated_upstreams
{
public:
    simulated_upstreams(virtual_scheduler &time, random_source &randomness, upstream_faults faults);

    const std::vector<upstream_event> &record() const;

    /// Returns the tokens of the complete answer to a request body. The same body always has the same answer.
    static std::vector<std::string> generateTokens(const std::string &body);

    /// Makes an engine refuse all new attempts from now on.
    void drain(const endpoint &engine);

    virtual_scheduler &time();
    random_source &randomness();
    const upstream_faults &faults() const;

private:
    friend class simulated_engines;
    friend class simulated_services;

    struct stream
    {
        std::string id;
        std::string attempt;
        std::vector<std::string> tokens;
        std::size_t produced = 0;
        std::size_t sent = 0;
        std::weak_ptr<class simulated_generation> reader;
        bool cancelled = false;
    };

    void produceToken(const std::shared_ptr<stream> &source);
    void deliverTokens(const std::shared_ptr<stream> &source);
    void recordRun(const std::string &attempt, bool plain);

    virtual_scheduler &m_time;
    random_source &m_random;
    upstream_faults m_faults;
    std::vector<upstream_event> m_record;
    std::map<std::string, std::shared_ptr<stream>> m_streams;
    std::set<endpoint> m_leaving;
    std::uint64_t m_nextStream = 1;
};

/// Connects one node to the simulated engines.
class simulated_engines final : public upstream::model_engine
{
public:
    simulated_engines(simulated_upstreams &upstreams, scheduler &node);

    std::shared_ptr<upstream::generation>
    start(const endpoint &engine, const upstream::generation_request &request,
          std::shared_ptr<upstream::generation_observer> observer) override;
    std::shared_ptr<upstream::generation>
    resume(const endpoint &engine, const std::string &stream, const std::string &attempt, std::uint64_t next,
           std::shared_ptr<upstream::generation_observer> observer) override;
    void exportCache(const endpoint &engine, const std::string &stream,
                     std::function<void(outcome<std::string>)> done) override;
    void readLoad(const endpoint &engine, std::function<void(outcome<upstream::engine_load>)> done) override;
    void readCacheEvents(const endpoint &engine, std::uint64_t after,
                         std::function<void(outcome<std::vector<upstream::cache_event>>)> done) override;
    void order(const endpoint &engine, const upstream::engine_order &wanted,
               std::function<void(outcome<void>)> done) override;

private:
    simulated_upstreams &m_upstreams;
    scheduler &m_node;
};

/// Connects one node to the simulated plain services. A response contains the id and body of the request that
/// ran.
class simulated_services final : public upstream::plain_service
{
public:
    simulated_services(simulated_upstreams &upstreams, scheduler &node);

    void call(const endpoint &service, const upstream::plain_call &request,
              std::function<void(outcome<http::response>)> done) override;

private:
    simulated_upstreams &m_upstreams;
    scheduler &m_node;
};

} // namespace ivypier::simulation
