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

/// One thing that an upstream did, written down by the upstream.
struct upstream_event
{
    std::string request; ///< the ticket's key
    std::string attempt;
    bool plain = false;
    time_point at{};
};

/// How badly upstreams behave.
struct upstream_faults
{
    double refuses = 0.0;
    double breaks = 0.0; ///< share of the attempts that break, before or after they ran
    double misdeliveryProbability
        = 0.0; ///< share of the broken streams whose later events still come, with foreign text
};

/// The engines and plain services of a simulated deployment, and their record.
class simulated_upstreams
{
public:
    simulated_upstreams(virtual_scheduler &time, random_source &randomness, upstream_faults quality);

    const std::vector<upstream_event> &record() const;

    /// The whole answer to a message body.
    static std::vector<std::string> generateTokens(const std::string &body);

    /// An engine that leaves starts nothing from now on.
    void leave(const endpoint &engine);

    virtual_scheduler &time();
    random_source &randomness();
    const upstream_faults &quality() const;

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

    void produce(const std::shared_ptr<stream> &of);
    void push(const std::shared_ptr<stream> &of);
    void write(const std::string &attempt, bool plain);

    virtual_scheduler &m_time;
    random_source &m_random;
    upstream_faults m_faults;
    std::vector<upstream_event> m_record;
    std::map<std::string, std::shared_ptr<stream>> m_streams;
    std::set<endpoint> m_draining;
    std::uint64_t m_nextStream = 1;
};

/// One node's way to the engines.
class simulated_engines final : public upstream::model_engine
{
public:
    simulated_engines(simulated_upstreams &world, scheduler &node);

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

/// One node's way to the plain services. A service answers with the id of the request that it ran.
class simulated_services final : public upstream::plain_service
{
public:
    simulated_services(simulated_upstreams &world, scheduler &node);

    void call(const endpoint &service, const upstream::plain_call &what,
              std::function<void(outcome<http::response>)> done) override;

private:
    simulated_upstreams &m_upstreams;
    scheduler &m_node;
};

} // namespace ivypier::simulation
