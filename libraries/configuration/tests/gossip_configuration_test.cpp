#include "configuration/gossip_configuration_peers.h"

#include "base/hash.h"
#include "configuration/configuration_follower.h"
#include "fake_platform.h"
#include "gossip_fleet.h"
#include "promise_seeds.h"
#include "sample_document.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::configuration;
using namespace std::chrono_literals;

namespace {

struct gossip_follower_fleet;

/// Delivers calls between nodes in one process, with a delay. Calls to a node that is not running time out.
class fake_peer_client final : public rpc::peer_client
{
public:
    fake_peer_client(gossip_follower_fleet &fleet, std::size_t own)
        : m_fleet(fleet)
        , m_ownIndex(own)
    {
    }

    void call(const endpoint &to, const std::string &method, Json::Value parameters, duration timeout,
              completion done) override;

private:
    gossip_follower_fleet &m_fleet;
    std::size_t m_ownIndex;
};

/// Nodes with real gossip and real followers on a fake platform.
struct gossip_follower_fleet
{
    struct node
    {
        node(gossip_follower_fleet &fleet, std::size_t index)
            : own(*fleet.gossip.nodes[index])
            , client(fleet.platform, own.tasks)
            , store(client, client)
            , calls(fleet, index)
            , peers(
                  own.randomness, own.membership, calls,
                  [this](const std::string &name, rpc::peer_server::method handler) {
                      methods[name] = std::move(handler);
                  },
                  [this] { return own.membership.fleetSize(); })
            , follower(own.tasks, own.randomness, store, 1s)
        {
            follower.setPeers(peers);
            follower.start();
        }

        membership::gossip_fleet::node &own;
        fake_platform_client client;
        document_store store;
        std::map<std::string, rpc::peer_server::method> methods;
        fake_peer_client calls;
        gossip_configuration_peers peers;
        configuration_follower follower;
    };

    explicit gossip_follower_fleet(std::uint64_t seed)
        : gossip(seed)
        , platform(seed)
    {
    }

    void start(std::size_t index)
    {
        if (nodes.size() <= index)
            nodes.resize(index + 1);
        nodes[index].reset();
        gossip.start(index, membership::gossip_fleet::domainOf(index));
        nodes[index] = std::make_unique<node>(*this, index);
    }

    void submit(int budget, std::uint64_t base)
    {
        operatorStore.submit(sampleDocument(budget), base, "token-" + std::to_string(budget),
                             [](const outcome<document_head> &) {});
    }

    bool allApplied(std::uint64_t version) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto &each) {
            const auto current = each->follower.current();
            return current && current->version >= version;
        });
    }

    membership::gossip_fleet gossip;
    fake_platform platform;
    fake_platform_client operatorClient{platform, gossip.time};
    document_store operatorStore{operatorClient, operatorClient};
    std::vector<std::unique_ptr<node>> nodes;
};

void fake_peer_client::call(const endpoint &to, const std::string &method, Json::Value parameters,
                            duration timeout, completion done)
{
    scheduler &tasks = m_fleet.gossip.nodes[m_ownIndex]->tasks;
    for (std::size_t index = 0; index < m_fleet.nodes.size(); ++index) {
        if (membership::gossip_fleet::addressOf(index) != to || !m_fleet.gossip.running(index))
            continue;
        const outcome<Json::Value> answer = m_fleet.nodes[index]->methods.at(method)(parameters);
        tasks.after(2ms, [done = std::move(done), answer] { done(answer); });
        return;
    }
    tasks.after(timeout, [done = std::move(done)] { done(error{error_code::timed_out, "no answer"}); });
}

} // namespace

TEST_CASE("with real gossip, a document is in force on 8 nodes within 5 s, and a restarted node gets it from "
          "peers while the platform is down",
          "[promise][promise-7]")
{
    for (const std::uint64_t seed : promiseSeeds()) {
        INFO("seed " << seed << " (IVYPIER_SEED reruns it)");
        gossip_follower_fleet fleet(seed);
        fleet.submit(1, 0);
        for (std::size_t index = 0; index < 8; ++index)
            fleet.start(index);
        CHECK(fleet.gossip.waitUntil(5s, [&] { return fleet.allApplied(1); }));
        fleet.submit(2, 1);
        CHECK(fleet.gossip.waitUntil(5s, [&] { return fleet.allApplied(2); }));
        fleet.platform.down = true;
        fleet.gossip.time.advance(20s);
        fleet.start(3);
        CHECK_FALSE(fleet.nodes[3]->follower.current());
        CHECK(fleet.gossip.waitUntil(5s, [&] { return fleet.allApplied(2); }));
    }
}

TEST_CASE("a node that reads a new head announces it, so that a node cut off from the platform applies it")
{
    gossip_follower_fleet fleet(1);
    fleet.submit(1, 0);
    for (std::size_t index = 0; index < 8; ++index)
        fleet.start(index);
    REQUIRE(fleet.gossip.waitUntil(5s, [&] { return fleet.allApplied(1); }));
    fleet.nodes[5]->client.isolated = true;
    fleet.submit(2, 1);
    CHECK(fleet.gossip.waitUntil(5s, [&] { return fleet.allApplied(2); }));
    CHECK(fleet.nodes[2]->own.membership.findFact("configuration")->version == 2);
}
