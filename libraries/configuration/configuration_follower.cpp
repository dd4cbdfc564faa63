#include "configuration/configuration_follower.h"

#include "base/log_event.h"

#include <algorithm>

namespace ivypier::configuration {

namespace {

constexpr double object_reads_per_second = 400.0; ///< of the fleet, while peers don't have the objects yet
constexpr duration shortest_peer_retry = std::chrono::milliseconds(150);
constexpr duration longest_peer_retry = std::chrono::milliseconds(450);
constexpr duration shortest_store_patience = std::chrono::milliseconds(400);
constexpr duration longest_store_patience = std::chrono::milliseconds(800);
constexpr int store_reads_at_once = 3;
constexpr duration first_retry = std::chrono::milliseconds(500);

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
    peers.onAnnounced([this](const document_head &head) { hear(head); });
    peers.serve([this] { return m_newest; },
                [this](const std::vector<std::string> &digests) {
                    object_map objects;
                    for (const std::string &each : digests) {
                        const auto found = m_held->find(each);
                        if (found != m_held->end())
                            objects.insert(*found);
                    }
                    return objects;
                });
}

void configuration_follower::start()
{
    ask();
}

std::shared_ptr<const versioned_document> configuration_follower::current() const
{
    return m_current;
}

void configuration_follower::onChange(std::function<void()> observer)
{
    m_observers.push_back(std::move(observer));
}

void configuration_follower::onPlatformAnswered(std::function<void()> observer)
{
    m_answerObservers.push_back(std::move(observer));
}

const document_head &configuration_follower::newestHead() const
{
    return m_newest;
}

void configuration_follower::ask()
{
    m_first.table = false;
    m_first.peers = false;
    m_store.readHead([this](const outcome<document_head> &head) { takeFirst(&head, nullptr); });
    if (!m_peers) {
        takeFirst(nullptr, nullptr);
        return;
    }
    m_peers->askHeads([this](const std::vector<document_head> &heads) { takeFirst(nullptr, &heads); });
}

void configuration_follower::hear(const document_head &head)
{
    if (m_first.over)
        take(head);
    else
        m_first.newest = std::max(m_first.newest, head);
}

void configuration_follower::takeFirst(const outcome<document_head> *fromTable,
                                       const std::vector<document_head> *fromPeers)
{
    if (fromTable) {
        m_first.table = true;
        noteTable(*fromTable);
        if (*fromTable)
            m_first.newest = std::max(m_first.newest, fromTable->value());
    } else {
        m_first.peers = true;
        for (const document_head &each : fromPeers ? *fromPeers : std::vector<document_head>())
            m_first.newest = std::max(m_first.newest, each);
    }
    if (!m_first.table || !m_first.peers)
        return;
    m_first.over = m_first.newest.version > 0;
    if (m_first.over) {
        take(m_first.newest);
        poll();
    } else { // neither knows any: nothing is served until one does
        m_tasks.after(first_retry, [this] { ask(); });
    }
}

void configuration_follower::poll()
{
    const double jitter = 0.5 + m_random.uniform();
    m_tasks.after(fromSeconds(seconds(pollInterval()) * jitter), [this] {
        m_store.readHead([this](const outcome<document_head> &head) {
            noteTable(head);
            if (head)
                take(head.value());
            poll();
        });
    });
}

void configuration_follower::noteTable(const outcome<document_head> &head)
{
    if (!head)
        return;
    for (const auto &observer : m_answerObservers)
        observer();
    if (m_peers && head.value().version > m_newest.version)
        m_peers->announce(head.value());
}

duration configuration_follower::pollInterval() const
{
    const double fleet = m_peers ? static_cast<double>(m_peers->fleetSize()) : 1.0;
    return std::max(m_interval, fromSeconds(fleet / head_reads_per_second));
}

void configuration_follower::take(const document_head &head)
{
#ifndef IVYPIER_MUTANT_MONOTONIC_VERSION
    if (head.version <= m_newest.version)
        return;
#else
    if (head.version == m_newest.version || head.version == 0)
        return;
#endif
    m_newest = head;
    load();
}

void configuration_follower::load()
{
    if (m_newest.version == m_applied.version || m_newest.version == m_target.version)
        return;
    m_target = m_newest;
    const std::uint64_t version = m_target.version;
    if (!m_peers) {
        askStore(version);
        return;
    }
    // Peers are asked at once and again and again; the store after a while that spreads the fleet's reads.
    // Who gives the missing objects first wins, so that a slow store holds nobody up who has a peer.
    askPeers(version);
    m_tasks.after(between(duration::zero(), storeSpread()), [this, version] { askStore(version); });
}

duration configuration_follower::storeSpread() const
{
    const double fleet = m_peers ? static_cast<double>(m_peers->fleetSize()) : 1.0;
    return fromSeconds(fleet / object_reads_per_second);
}

bool configuration_follower::isDone(std::uint64_t version) const
{
    return m_target.version != version || m_applied.version == version;
}

void configuration_follower::askPeers(std::uint64_t version)
{
    if (isDone(version))
        return;
    fetchDocument(m_target.digest, m_held, *m_peers, false, [this, version](const outcome<void> &all) {
        if (isDone(version))
            return;
        if (all)
            loaded();
        else
            m_tasks.after(between(shortest_peer_retry, longest_peer_retry),
                          [this, version] { askPeers(version); });
    });
}

void configuration_follower::askStore(std::uint64_t version)
{
    if (isDone(version))
        return;
    // A read that takes long is made a second time: one slow answer must not hold the document up.
    if (m_storeReads < store_reads_at_once) {
        ++m_storeReads;
        fetchDocument(m_target.digest, m_held, m_store, false, [this, version](const outcome<void> &all) {
            --m_storeReads;
            if (all && !isDone(version))
                loaded();
        });
    }
    const duration patience
        = std::max(between(shortest_store_patience, longest_store_patience), storeSpread());
    m_tasks.after(patience, [this, version] { askStore(version); });
}

duration configuration_follower::between(duration shortest, duration longest)
{
    return shortest + fromSeconds(seconds(longest - shortest) * m_random.uniform());
}

void configuration_follower::loaded()
{
    const outcome<std::string> body = assembleDocument(m_target.digest, *m_held);
    if (body) {
        apply(m_target, body.value());
        return;
    }
    m_applied = m_target; // its indexes are malformed: another try gives the same
    log_event(log_level::error, "configuration.unreadable")
        .with("version", static_cast<std::int64_t>(m_target.version))
        .with("reason", body.error().message)
        .write();
}

void configuration_follower::apply(const document_head &head, const std::string &body)
{
#ifndef IVYPIER_MUTANT_MONOTONIC_VERSION
    if (head.version < m_newest.version || head.version <= m_applied.version)
        return;
#endif
    m_applied = head;
    parsed_document parsed = parseDocument(body);
    document *content = std::get_if<document>(&parsed);
    if (!content) {
        log_event(log_level::error, "configuration.unreadable")
            .with("version", static_cast<std::int64_t>(head.version))
            .write();
        return;
    }
    dropUnused();
    m_current
        = std::make_shared<const versioned_document>(versioned_document{head.version, std::move(*content)});
    log_event(log_level::info, "configuration.applied")
        .with("version", static_cast<std::int64_t>(head.version))
        .write();
    for (const auto &observer : m_observers)
        observer();
}

void configuration_follower::dropUnused()
{
    const std::set<std::string> used = documentDigests(m_applied.digest, *m_held);
    std::erase_if(*m_held, [&](const auto &each) { return !used.contains(each.first); });
}

} // namespace ivypier::configuration
