#pragma once

#include "admission/open_admission.h"
#include "admission/retry_policy.h"
#include "configuration/configuration_source.h"
#include "gateway/caller_api.h"
#include "gateway/forwarder.h"
#include "gateway/graceful_stop.h"
#include "requests/rpc_peer_channel.h"
#include "routing/least_dispatched_router.h"
#include "simulated_network.h"
#include "simulated_process.h"
#include "simulated_upstreams.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivypier::simulation {

class simulated_fleet;

/// Membership as one node sees it: changes at other nodes and facts become visible after a delay.
class simulated_members final : public membership::membership_view
{
public:
    simulated_members(simulated_fleet &fleet, membership::incarnation self, duration lag);

    membership::member self() const override;
    std::vector<membership::member> members() const override;
    std::optional<membership::member> find(membership::incarnation id) const override;
    std::optional<membership::fact> findFact(const std::string &key) const override;
    std::vector<membership::fact> facts(const std::string &prefix) const override;
    void publish(const membership::fact &published) override;
    void onMembersChanged(std::function<void()> observer) override;
    void onFact(std::function<void(const membership::fact &)> observer) override;
    void leave() override;

private:
    simulated_fleet &m_fleet;
    membership::incarnation m_self;
    duration m_lag;
};

/// Carries RPC between nodes over the simulated network, with the production codec, authentication and
/// methods.
class simulated_peers final : public rpc::peer_client
{
public:
    simulated_peers(simulated_fleet &fleet, scheduler &node);

    void call(const endpoint &to, const std::string &method, Json::Value parameters, duration timeout,
              completion done) override;

private:
    simulated_fleet &m_fleet;
    scheduler &m_node;
};

/// Forwards requests over the simulated network. Does not redirect callers.
class simulated_forwarder final : public gateway::forwarder
{
public:
    simulated_forwarder(simulated_fleet &fleet, scheduler &node);

    void forward(const endpoint &node, const http::request &incoming, std::shared_ptr<http::responder> caller,
                 duration idleTimeout, no_response_handler onNoResponse) override;
    void redirectAll() override;
    std::size_t activeCount() const override;

private:
    simulated_fleet &m_fleet;
    scheduler &m_node;
};

/// An in-memory table that is always available.
class simulated_table final : public cloud::table_service
{
public:
    void read(const std::string &key, read_completion done) override;
    void list(const std::string &prefix, list_completion done) override;
    void write(const std::string &key, std::uint64_t expected, const std::string &value,
               write_completion done) override;

private:
    std::map<std::string, cloud::table_row> m_rows;
};

/// Retries a few times, with almost no delay. Faults are frequent in these tests; a retry budget would run
/// out and hide the later effects of faults.
class immediate_retry final : public admission::retry_policy
{
public:
    void dispatched(const std::string &service) override;
    std::optional<duration> retryDelay(const std::string &service, unsigned attempt,
                                       duration remaining) override;
};

/// A configuration that never changes.
class fixed_configuration final : public configuration::configuration_source
{
public:
    fixed_configuration();

    std::shared_ptr<const configuration::versioned_document> current() const override;
    void onChange(std::function<void()> observer) override;

private:
    std::shared_ptr<configuration::versioned_document> m_document;
};

/// One node: the production components with fakes at their external interfaces.
struct simulated_node
{
    simulated_node(simulated_fleet &fleet, membership::incarnation id, duration lag, secret_key key);

    simulated_process process;
    simulated_members members;
    simulated_peers peers;
    rpc::peer_server rpcServer;
    entry::entry_directory entries;
    routing::least_dispatched_router router;
    admission::open_admission admission;
    immediate_retry retries;
    simulated_engines engines;
    simulated_services services;
    metrics_registry metrics;
    requests::rpc_peer_channel channel;
    requests::witness_ledger ledger;
    requests::witness_handover witnessHandover;
    requests::request_service requests;
    requests::idempotency_claims claims;
    simulated_forwarder requestForwarder;
    gateway::caller_api callerApi;
    gateway::graceful_stop gracefulStop;
};

/// The actual state of a node over time, before any detection delay.
struct node_history
{
    membership::member member;
    std::optional<time_point> leftAt;
    std::optional<time_point> deadAt; ///< when it was killed, stopped or frozen
};

/// The nodes, the network and the upstreams of one run.
class simulated_fleet
{
public:
    simulated_fleet(std::uint64_t seed, network_faults network, upstream_faults upstreams);
    ~simulated_fleet();

    static constexpr std::size_t node_count = 5;
    static constexpr std::size_t engine_count = 3;
    static endpoint engineAddress(std::size_t index);

    void kill(std::size_t node);
    void freeze(std::size_t node);
    void unfreeze(std::size_t node);
    void stop(std::size_t node, duration notice);
    void drainEngine(std::size_t engine);

    /// Returns the running or frozen node at an address, or null.
    simulated_node *nodeAt(const endpoint &address);

    virtual_scheduler time;
    seeded_random random;
    secret_key key;
    simulated_network network;
    simulated_upstreams upstreams;
    simulated_table table;
    fixed_configuration configuration;
    std::map<std::string, std::vector<std::pair<time_point, membership::fact>>> facts;
    std::vector<node_history> histories;
    std::vector<std::unique_ptr<simulated_node>> nodes;
};

} // namespace ivypier::simulation
