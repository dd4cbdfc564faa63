#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "configuration/configuration_peers.h"
#include "configuration/configuration_source.h"
#include "configuration/document_store.h"

#include <memory>
#include <vector>

namespace ivypier::configuration {

/// Keeps the newest document in force: polls the head in the platform's table and listens for the heads that
/// peers announce. Never applies a version older than the newest one seen. While the platform is unreachable,
/// the current document stays in force and announcements of peers are still followed.
class configuration_follower final : public configuration_source
{
public:
    /// `interval` is the minimum mean time between two reads of the head. It is extended in large fleets, so
    /// that all nodes together stay below max_head_reads_per_second.
    configuration_follower(scheduler &tasks, random_source &randomness, document_store &store,
                           duration interval);

    /// Also follows these peers and serves their requests. Must be called before start().
    void setPeers(configuration_peers &peers);

    /// Starts following: queries the table and some peers, and adopts the newest head that any of them
    /// returns.
    void start();

    std::shared_ptr<const versioned_document> current() const override;
    void onChange(std::function<void()> observer) override;

    /// Registers `observer`, which runs after each successful read of the head from the platform's table.
    void onPlatformResponse(std::function<void()> observer);

    /// Returns the newest head known to this node. Its document may not be loaded yet.
    const document_head &newestHead() const;

private:
    void discoverHead();
    void handleAnnouncedHead(const document_head &head);
    void handleDiscoveryResponse(const outcome<document_head> *fromTable,
                                 const std::vector<document_head> *fromPeers);
    void poll();
    void handleTableRead(const outcome<document_head> &head);
    void adoptHead(const document_head &head);
    void startLoad();
    void fetchFromPeers(std::uint64_t version);
    void fetchFromStore(std::uint64_t version);
    duration storeReadWindow() const;
    bool isLoadObsolete(std::uint64_t version) const;
    void finishLoad();
    duration randomDuration(duration minimum, duration maximum);
    void apply(const document_head &head, const std::string &body);
    void removeUnusedObjects();
    duration pollInterval() const;

    /// Responses to the initial queries of table and peers. No document is applied before it is complete.
    struct head_discovery
    {
        bool tableAnswered = false;
        bool peersAnswered = false;
        bool complete = false;
        document_head newest;
    };

    scheduler &m_tasks;
    random_source &m_random;
    document_store &m_store;
    duration m_interval;
    configuration_peers *m_peers = nullptr;
    head_discovery m_discovery;
    document_head m_newestHead;
    document_head m_appliedHead;
    std::shared_ptr<object_map> m_objects = std::make_shared<object_map>();
    int m_activeStoreReads = 0; ///< fetches from the object store in progress
    document_head m_targetHead; ///< head whose document is being loaded or was loaded last
    std::shared_ptr<const versioned_document> m_current;
    std::vector<std::function<void()>> m_changeObservers;
    std::vector<std::function<void()>> m_platformObservers;
};

/// Upper limit of head reads per second by all nodes of a fleet together.
inline constexpr double max_head_reads_per_second = 400.0;

} // namespace ivypier::configuration
