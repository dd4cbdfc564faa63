#pragma once

#include "base/log_event.h"
#include "base/pausable_scheduler.h"
#include "base/virtual_scheduler.h"
#include "configuration/configuration_follower.h"
#include "fake_platform.h"
#include "sample_document.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ivypier::configuration {

struct follower_fleet;

/// Connects a node to its peers in one process; simulates delays, lost messages and isolated nodes.
class fake_peers final : public configuration_peers
{
public:
    fake_peers(follower_fleet &fleet, std::size_t own)
        : m_fleet(fleet)
        , m_ownIndex(own)
    {
    }

    void announce(const document_head &head) override;
    void onHeadAnnounced(std::function<void(const document_head &)> observer) override
    {
        m_observer = std::move(observer);
    }
    void queryHeads(std::function<void(const std::vector<document_head> &)> done) override;
    std::size_t fleetSize() const override;
    void serve(std::function<document_head()> newestHead,
               std::function<object_map(const std::vector<std::string> &)> objects) override
    {
        m_newestHead = std::move(newestHead);
        m_objects = std::move(objects);
    }
    void fetch(const std::vector<std::string> &digests, completion done) override;

    /// Sends the newest head to a random peer, as gossip does.
    void gossip();

private:
    friend struct follower_fleet;

    void sendHead(std::size_t to, const document_head &head);
    std::vector<std::size_t> pickPeers(std::size_t count) const;
    bool isResponsive(std::size_t peer) const;

    follower_fleet &m_fleet;
    std::size_t m_ownIndex;
    std::function<void(const document_head &)> m_observer;
    std::function<document_head()> m_newestHead;
    std::function<object_map(const std::vector<std::string> &)> m_objects;
};

/// Followers of one platform in virtual time, with an oracle that checks every document they apply.
struct follower_fleet
{
    struct node
    {
        node(follower_fleet &fleet, std::size_t index, std::uint64_t seed)
            : tasks(fleet.time)
            , randomness(seed)
            , client(fleet.platform, tasks)
            , store(client, client)
            , peers(fleet, index)
            , follower(tasks, randomness, store, std::chrono::seconds(1))
            , startedAt(fleet.time.now())
        {
        }

        pausable_scheduler tasks;
        seeded_random randomness;
        fake_platform_client client;
        document_store store;
        fake_peers peers;
        configuration_follower follower;
        time_point startedAt;
        bool isolated = false; ///< isolated from peers and platform
        std::vector<std::uint64_t> applied;
    };

    explicit follower_fleet(std::uint64_t seed)
        : randomness(seed)
        , platform(seed)
    {
        configureLog("tests", log_level::error);
    }

    void start(std::size_t index)
    {
        if (nodes.size() <= index)
            nodes.resize(index + 1);
        nodes[index].reset();
        nodes[index] = std::make_unique<node>(*this, index, randomness.next());
        node &own = *nodes[index];
        own.follower.setPeers(own.peers);
        own.follower.onChange([this, &own] { recordApplied(own); });
        own.follower.start();
        scheduleGossip(own);
    }

    void stop(std::size_t index)
    {
        nodes[index].reset();
    }

    void setIsolated(std::size_t index, bool isolated)
    {
        nodes[index]->isolated = isolated;
        nodes[index]->client.isolated = isolated;
    }

    bool connected(std::size_t from, std::size_t to) const
    {
        return from < nodes.size() && to < nodes.size() && nodes[from] && nodes[to] && !nodes[from]->isolated
            && !nodes[to]->isolated;
    }

    bool running(std::size_t index) const
    {
        return nodes[index] && !nodes[index]->isolated && !nodes[index]->tasks.isPaused();
    }

    /// Returns true when every running node has a document of at least this version in force.
    bool allApplied(std::uint64_t version) const
    {
        for (std::size_t index = 0; index < nodes.size(); ++index) {
            if (!running(index))
                continue;
            const auto current = nodes[index]->follower.current();
            if (!current || current->version < version)
                return false;
        }
        return true;
    }

    /// Returns the version of the head in the platform's table, 0 before the first.
    std::uint64_t acceptedVersion() const
    {
        return platform.history.empty() ? 0 : platform.history.back().version;
    }

    /// Advances virtual time until the condition holds. Returns false when it does not within `limit`.
    template <typename Condition>
    bool waitUntil(duration limit, Condition condition)
    {
        const time_point end = time.now() + limit;
        while (time.now() < end) {
            if (condition())
                return true;
            time.advance(std::chrono::milliseconds(20));
        }
        return condition();
    }

    /// Submits a document based on version `base`, as an operator does.
    void submit(int budget, std::uint64_t base)
    {
        const std::string token = "token-" + std::to_string(nextToken++);
        auto *store = &operatorStore;
        store->submit(sampleDocument(budget), base, token, [](const outcome<document_head> &) {});
    }

    void scheduleGossip(node &own)
    {
        const double pause = 0.25 + 0.5 * randomness.uniform();
        own.tasks.after(fromSeconds(pause), [this, &own] {
            own.peers.gossip();
            scheduleGossip(own);
        });
    }

    void recordApplied(node &own);

    virtual_scheduler time;
    seeded_random randomness;
    fake_platform platform;
    fake_platform_client operatorClient{platform, time};
    document_store operatorStore{operatorClient, operatorClient};
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::string> violations; ///< violations found by the oracle
    int nextToken = 0;
};

inline void follower_fleet::recordApplied(node &own)
{
    const auto current = own.follower.current();
    if (!own.applied.empty() && current->version <= own.applied.back())
        violations.push_back("version " + std::to_string(current->version) + " after "
                             + std::to_string(own.applied.back()));
    own.applied.push_back(current->version);
    const auto acceptedWrite
        = std::find_if(platform.history.begin(), platform.history.end(),
                       [&](const auto &each) { return each.version == current->version; });
    if (acceptedWrite == platform.history.end()) {
        violations.push_back("version " + std::to_string(current->version) + " was never accepted");
        return;
    }
    // Compares the content too: it must be the document stored under the row's digest.
    const std::size_t position = acceptedWrite->value.find("\"digest\":\"") + 10;
    const outcome<std::string> body
        = assembleDocument(acceptedWrite->value.substr(position, 64), platform.objects);
    const parsed_document parsed = parseDocument(body ? body.value() : "");
    const document *content = std::get_if<document>(&parsed);
    if (!content || *content != current->content)
        violations.push_back("version " + std::to_string(current->version) + " has another content");
}

inline std::size_t fake_peers::fleetSize() const
{
    return m_fleet.nodes.size();
}

inline void fake_peers::sendHead(std::size_t to, const document_head &head)
{
    constexpr double loss = 0.1;
    if (head.version == 0 || !m_fleet.connected(m_ownIndex, to) || m_fleet.randomness.uniform() < loss)
        return;
    const duration delay = fromSeconds(0.3 * m_fleet.randomness.uniform());
    follower_fleet::node &target = *m_fleet.nodes[to];
    target.tasks.after(delay, [&target, head] { target.peers.m_observer(head); });
}

inline void fake_peers::announce(const document_head &head)
{
    m_observer(head);
    for (std::size_t to = 0; to < m_fleet.nodes.size(); ++to) {
        if (to != m_ownIndex)
            sendHead(to, head);
    }
}

inline void fake_peers::gossip()
{
    for (const std::size_t peer : pickPeers(1))
        sendHead(peer, m_newestHead());
}

inline std::vector<std::size_t> fake_peers::pickPeers(std::size_t count) const
{
    std::vector<std::size_t> pool;
    for (std::size_t index = 0; index < m_fleet.nodes.size(); ++index) {
        if (index != m_ownIndex)
            pool.push_back(index);
    }
    while (pool.size() > count)
        pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(m_fleet.randomness.index(pool.size())));
    return pool;
}

inline bool fake_peers::isResponsive(std::size_t peer) const
{
    return m_fleet.connected(m_ownIndex, peer) && !m_fleet.nodes[peer]->tasks.isPaused();
}

inline void fake_peers::queryHeads(std::function<void(const std::vector<document_head> &)> done)
{
    std::vector<document_head> heads;
    double delay = 0.001;
    for (const std::size_t peer : pickPeers(3)) {
        if (isResponsive(peer))
            heads.push_back(m_fleet.nodes[peer]->peers.m_newestHead());
        else
            delay = 1.0; // call timeout
    }
    delay += 0.1 * m_fleet.randomness.uniform();
    m_fleet.nodes[m_ownIndex]->tasks.after(fromSeconds(delay),
                                           [heads, done = std::move(done)] { done(heads); });
}

inline void fake_peers::fetch(const std::vector<std::string> &digests, completion done)
{
    object_map objects;
    double delay = 0.001;
    for (const std::size_t peer : pickPeers(2)) {
        if (isResponsive(peer))
            objects.merge(m_fleet.nodes[peer]->peers.m_objects(digests));
        else
            delay += 1.0;
    }
    delay += 0.1 * m_fleet.randomness.uniform();
    m_fleet.nodes[m_ownIndex]->tasks.after(fromSeconds(delay),
                                           [objects, done = std::move(done)] { done(objects); });
}

} // namespace ivypier::configuration
