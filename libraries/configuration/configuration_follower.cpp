#include "configuration/configuration_follower.h"

#include "base/log_event.h"

#include <algorithm>

namespace ivypier::configuration {

namespace {

constexpr double max_object_reads_per_second
    = 400.0; ///< by all nodes of a fleet while no peer has the objects yet
constexpr duration min_peer_retry_delay = std::chrono::milliseconds(150);
constexpr duration max_peer_retry_delay = std::chrono::milliseconds(450);
constexpr duration min_store_retry_delay = std::chrono::milliseconds(400);
constexpr duration max_store_retry_delay = std::chrono::milliseconds(800);
constexpr int max_concurrent_store_reads = 3;
constexpr duration discovery_retry_delay = std::chrono::milliseconds(500);

} // namespace

configuration_follower::configuration_follower(scheduler &tasks, random_source &randomness,
                                               document_store &store, duration interval)
    : m_tasks(tasks)
    , m_random(randomness)
    , m_store(store)
    , m_interval(interval)
{
}

void configuration_follower::setPeers(configuration_peers &peers)
{
    m_peers = &peers;
    peers.onHeadAnnounced([this](const document_head &head) { handleAnnouncedHead(head); });
    peers.serve([this] { return m_newestHead; },
                [this](const std::vector<std::string> &digests) {
                    object_map objects;
                    for (const std::string &each : digests) {
                        const auto found = m_objects->find(each);
                        if (found != m_objects->end())
                            objects.insert(*found);
                    }
                    return objects;
                });
}

void configuration_follower::start()
{
    discoverHead();
}

std::shared_ptr<const versioned_document> configuration_follower::current() const
{
    return m_current;
}

void configuration_follower::onChange(std::function<void()> observer)
{
    m_changeObservers.push_back(std::move(observer));
}

void configuration_follower::onPlatformResponse(std::function<void()> observer)
{
    m_platformObservers.push_back(std::move(observer));
}

const document_head &configuration_follower::newestHead() const
{
    return m_newestHead;
}

void configuration_follower::discoverHead()
{
    m_discovery.tableAnswered = false;
    m_discovery.peersAnswered = false;
    m_store.readHead([this](const outcome<document_head> &head) { handleDiscoveryResponse(&head, nullptr); });
    if (!m_peers) {
        handleDiscoveryResponse(nullptr, nullptr);
        return;
    }
    m_peers->queryHeads(
        [this](const std::vector<document_head> &heads) { handleDiscoveryResponse(nullptr, &heads); });
}

void configuration_follower::handleAnnouncedHead(const document_head &head)
{
    if (m_discovery.complete)
        adoptHead(head);
    else
        m_discovery.newest = std::max(m_discovery.newest, head);
}

void configuration_follower::handleDiscoveryResponse(const outcome<document_head> *fromTable,
                                                     const std::vector<document_head> *fromPeers)
{
    if (fromTable) {
        m_discovery.tableAnswered = true;
        handleTableRead(*fromTable);
        if (*fromTable)
            m_discovery.newest = std::max(m_discovery.newest, fromTable->value());
    } else {
        m_discovery.peersAnswered = true;
        for (const document_head &each : fromPeers ? *fromPeers : std::vector<document_head>())
            m_discovery.newest = std::max(m_discovery.newest, each);
    }
    if (!m_discovery.tableAnswered || !m_discovery.peersAnswered)
        return;
    m_discovery.complete = m_discovery.newest.version > 0;
    if (m_discovery.complete) {
        adoptHead(m_discovery.newest);
        poll();
    } else { // neither has a head: retry until one does
        m_tasks.after(discovery_retry_delay, [this] { discoverHead(); });
    }
}

void configuration_follower::poll()
{
    const double jitter = 0.5 + m_random.uniform();
    m_tasks.after(fromSeconds(seconds(pollInterval()) * jitter), [this] {
        m_store.readHead([this](const outcome<document_head> &head) {
            handleTableRead(head);
            if (head)
                adoptHead(head.value());
            poll();
        });
    });
}

void configuration_follower::handleTableRead(const outcome<document_head> &head)
{
    if (!head)
        return;
    for (const auto &observer : m_platformObservers)
        observer();
    if (m_peers && head.value().version > m_newestHead.version)
        m_peers->announce(head.value());
}

duration configuration_follower::pollInterval() const
{
    const double nodes = m_peers ? static_cast<double>(m_peers->fleetSize()) : 1.0;
    return std::max(m_interval, fromSeconds(nodes / max_head_reads_per_second));
}

void configuration_follower::adoptHead(const document_head &head)
{
#ifndef IVYPIER_MUTANT_MONOTONIC_VERSION
    if (head.version <= m_newestHead.version)
        return;
#else
    if (head.version == m_newestHead.version || head.version == 0)
        return;
#endif
    m_newestHead = head;
    startLoad();
}

void configuration_follower::startLoad()
{
    if (m_newestHead.version == m_appliedHead.version || m_newestHead.version == m_targetHead.version)
        return;
    m_targetHead = m_newestHead;
    const std::uint64_t version = m_targetHead.version;
    if (!m_peers) {
        fetchFromStore(version);
        return;
    }
    // Peers are queried immediately and retried; the store is read after a random delay that spreads the
    // load of the whole fleet. The first source to return all missing objects wins, so a slow store does not
    // delay a node that can reach a peer.
    fetchFromPeers(version);
    m_tasks.after(randomDuration(duration::zero(), storeReadWindow()),
                  [this, version] { fetchFromStore(version); });
}

duration configuration_follower::storeReadWindow() const
{
    const double nodes = m_peers ? static_cast<double>(m_peers->fleetSize()) : 1.0;
    return fromSeconds(nodes / max_object_reads_per_second);
}

bool configuration_follower::isLoadObsolete(std::uint64_t version) const
{
    return m_targetHead.version != version || m_appliedHead.version == version;
}

void configuration_follower::fetchFromPeers(std::uint64_t version)
{
    if (isLoadObsolete(version))
        return;
    fetchDocument(m_targetHead.digest, m_objects, *m_peers, false, [this, version](const outcome<void> &all) {
        if (isLoadObsolete(version))
            return;
        if (all)
            finishLoad();
        else
            m_tasks.after(randomDuration(min_peer_retry_delay, max_peer_retry_delay),
                          [this, version] { fetchFromPeers(version); });
    });
}

void configuration_follower::fetchFromStore(std::uint64_t version)
{
    if (isLoadObsolete(version))
        return;
    // Slow reads are hedged: another read starts after a delay, so that one slow response does not delay the
    // document.
    if (m_activeStoreReads < max_concurrent_store_reads) {
        ++m_activeStoreReads;
        fetchDocument(m_targetHead.digest, m_objects, m_store, false,
                      [this, version](const outcome<void> &all) {
                          --m_activeStoreReads;
                          if (all && !isLoadObsolete(version))
                              finishLoad();
                      });
    }
    const duration retryDelay
        = std::max(randomDuration(min_store_retry_delay, max_store_retry_delay), storeReadWindow());
    m_tasks.after(retryDelay, [this, version] { fetchFromStore(version); });
}

duration configuration_follower::randomDuration(duration minimum, duration maximum)
{
    return minimum + fromSeconds(seconds(maximum - minimum) * m_random.uniform());
}

void configuration_follower::finishLoad()
{
    const outcome<std::string> body = assembleDocument(m_targetHead.digest, *m_objects);
    if (body) {
        apply(m_targetHead, body.value());
        return;
    }
    m_appliedHead = m_targetHead; // the indexes are malformed, so a retry would fail the same way
    log_event(log_level::error, "configuration.unreadable")
        .with("version", static_cast<std::int64_t>(m_targetHead.version))
        .with("reason", body.error().message)
        .write();
}

void configuration_follower::apply(const document_head &head, const std::string &body)
{
#ifndef IVYPIER_MUTANT_MONOTONIC_VERSION
    if (head.version < m_newestHead.version || head.version <= m_appliedHead.version)
        return;
#endif
    m_appliedHead = head;
    parsed_document parsed = parseDocument(body);
    document *content = std::get_if<document>(&parsed);
    if (!content) {
        log_event(log_level::error, "configuration.unreadable")
            .with("version", static_cast<std::int64_t>(head.version))
            .write();
        return;
    }
    removeUnusedObjects();
    m_current
        = std::make_shared<const versioned_document>(versioned_document{head.version, std::move(*content)});
    log_event(log_level::info, "configuration.applied")
        .with("version", static_cast<std::int64_t>(head.version))
        .write();
    for (const auto &observer : m_changeObservers)
        observer();
}

void configuration_follower::removeUnusedObjects()
{
    const std::set<std::string> used = documentDigests(m_appliedHead.digest, *m_objects);
    std::erase_if(*m_objects, [&](const auto &each) { return !used.contains(each.first); });
}

} // namespace ivypier::configuration
