#pragma once

#include "base/hash.h"
#include "base/log_event.h"
#include "fake_membership.h"
#include "fleet/fleet_exchange.h"
#include "membership/virtual_network.h"

#include <memory>
#include <set>

namespace ivypier::fleet::tests {

using namespace std::chrono_literals;

inline constexpr std::uint16_t port = 7601;

inline secret_key fleetKey()
{
    return secret_key::fromPassphrase("a passphrase of one fleet").value();
}

inline endpoint addressOf(membership::incarnation id)
{
    return {"10.0." + std::to_string(id / 250) + '.' + std::to_string(id % 250), port};
}

/// Holds one node with all components whose metrics it reports.
struct node
{
    node(virtual_scheduler &time, random_source &randomness, membership::virtual_network &network,
         admission::fake_network &gossip, membership::incarnation id, std::size_t maxSingleLevelNodes)
        : view(gossip, id)
        , channel(network.open(time, addressOf(id)))
        , quota(time, randomness)
        , upstreams(time)
        , work(time)
        , speeds(time)
        , rollouts(time, randomness)
        , exchange(
              time, *channel, fleetKey(), view, port, "duty", localMetrics, quota,
              [this, &time] { return runs.windowAt(time.wallMilliseconds()); }, maxSingleLevelNodes)
    {
    }

    admission::fake_network::view view;
    std::unique_ptr<membership::datagram_channel> channel;
    relay::unit_quota quota;
    relay::run_counter runs{5000};
    relay::upstream_directory upstreams;
    relay::work_meter work;
    relay::upstream_speed speeds;
    relay::call_rollouts rollouts;
    local_metrics localMetrics{quota, runs, upstreams, work, &speeds, &rollouts};
    fleet_exchange exchange;
};

/// Holds a number of nodes that are members of one another's view.
struct test_cluster
{
    /// The nodes know each other after `discoveryTime`.
    explicit test_cluster(membership::incarnation count, std::uint64_t seed = 5, std::size_t domains = 1,
                          std::size_t maxSingleLevelNodes = max_single_level_nodes,
                          duration discoveryTime = duration::zero())
        : randomness(seed)
        , domainCount(domains)
    {
        configureLog("tests", log_level::error);
        network.setDelay(1ms, 5ms);
        for (membership::incarnation id = 1; id <= count; ++id)
            nodes.push_back(
                std::make_unique<node>(time, randomness, network, gossip, id, maxSingleLevelNodes));
        for (const auto &each : nodes)
            each->view.setMember(memberOf(each->view.self().id));
        if (discoveryTime == duration::zero())
            introduceAll();
        else
            time.after(discoveryTime, [this] { introduceAll(); });
        for (const auto &each : nodes)
            each->exchange.start();
    }

    void introduceAll() const
    {
        for (const auto &each : nodes) {
            for (membership::incarnation id = 1; id <= nodes.size(); ++id)
                each->view.setMember(memberOf(id));
        }
    }

    membership::member memberOf(membership::incarnation id) const
    {
        membership::member result;
        result.id = id;
        result.name = "node-" + std::to_string(id);
        result.address = addressOf(id);
        result.failureDomain = "domain-" + std::to_string(id % domainCount);
        return result;
    }

    /// Has every node apply what its exchange knows to its quota, as the edge node does.
    void updateQuotas() const
    {
        for (const auto &each : nodes) {
            each->quota.setRemoteReporting(each->exchange.hasRemoteCollector(), each->exchange.reportAge());
            each->quota.setSilentFraction(each->exchange.silentFraction(nodes.size()), silent_node_age);
        }
    }

    /// Cuts each of these nodes off from all others; the others take them for dead after `detectionTime`.
    void cutOff(const std::set<membership::incarnation> &ids, duration detectionTime)
    {
        std::set<endpoint> addresses;
        for (const membership::incarnation id : ids)
            addresses.insert(addressOf(id));
        network.setDropFilter([addresses](const endpoint &from, const endpoint &to) {
            return addresses.contains(from) || addresses.contains(to);
        });
        setStateAfter(detectionTime, ids, membership::member_state::dead);
    }

    /// Ends all cuts; the nodes take each other for alive after `detectionTime`.
    void reconnect(const std::set<membership::incarnation> &ids, duration detectionTime)
    {
        network.setDropFilter(nullptr);
        setStateAfter(detectionTime, ids, membership::member_state::alive);
    }

    /// Sets how the nodes with these ids and all others see each other.
    void setStateAfter(duration delay, const std::set<membership::incarnation> &ids,
                       membership::member_state state)
    {
        time.after(delay, [this, ids, state] {
            for (const auto &each : nodes) {
                const membership::incarnation self = each->view.self().id;
                for (membership::incarnation id = 1; id <= nodes.size(); ++id) {
                    if (id != self && (ids.contains(id) || ids.contains(self)))
                        each->view.setMember(id, state);
                }
            }
        });
    }

    /// Cuts the network of a node and marks it dead in every view.
    void isolate(membership::incarnation id)
    {
        network.setDropFilter([isolatedAddress = addressOf(id)](const endpoint &from, const endpoint &to) {
            return from == isolatedAddress || to == isolatedAddress;
        });
        for (const auto &each : nodes)
            each->view.setMember(id, membership::member_state::dead);
    }

    /// Returns the highest-ranked collector.
    membership::incarnation firstCollector() const
    {
        membership::incarnation best = 1;
        for (const auto &each : nodes) {
            const membership::incarnation id = each->view.self().id;
            if (rendezvousWeight("duty", memberOf(id).name) > rendezvousWeight("duty", memberOf(best).name))
                best = id;
        }
        return best;
    }

    virtual_scheduler time;
    seeded_random randomness;
    std::size_t domainCount;
    membership::virtual_network network{time, randomness};
    admission::fake_network gossip{time, randomness, 100ms};
    std::vector<std::unique_ptr<node>> nodes;
};

inline void setLimit(test_cluster &cluster, double perSecond, double burst)
{
    for (const auto &each : cluster.nodes)
        each->quota.setAccounts({{"a", {}, std::nullopt, perSecond, burst, true, 1.0}});
}

/// Returns the units that the nodes consume together while each requests `units` every 10 ms.
inline double consumeFor(test_cluster &cluster, duration span, double units)
{
    double consumed = 0.0;
    for (duration passed{}; passed < span; passed += 10ms) {
        cluster.time.advance(10ms);
        cluster.updateQuotas();
        for (const auto &each : cluster.nodes) {
            if (each->quota.take("a", units) == duration::zero())
                consumed += units;
        }
    }
    return consumed;
}

} // namespace ivypier::fleet::tests
