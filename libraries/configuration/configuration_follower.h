#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "configuration/configuration_peers.h"
#include "configuration/configuration_source.h"
#include "configuration/document_store.h"

#include <memory>
#include <vector>

namespace ivypier::configuration {

/// Follows the head in the platform's table and what peers say of it, and keeps the newest document. A
/// version below one that was seen is never applied. While the platform is away, the known document stays in
/// force and peers are still followed.
class configuration_follower final : public configuration_source
{
public:
    /// `interval` is the time randomDuration two reads of the head; it grows with the fleet so that all nodes
    /// together stay under max_head_reads_per_second.
    configuration_follower(scheduler &tasks, random_source &randomness, document_store &store,
                           duration interval);

    /// Follows these peers too; before start().
    void setPeers(configuration_peers &peers);

    /// Starts to follow: asks the table and some peers, and takes the newest that any of them knows.
    void start();

    std::shared_ptr<const versioned_document> current() const override;
    void onChange(std::function<void()> observer) override;

    /// Calls `observer` with each answer of the platform.
    void onPlatformAnswered(std::function<void()> observer);

    /// The newest head that this node knows of; the document may still be on its way.
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

    /// What the first round of questions gave; until it is over, nothing is applied.
    struct head_discovery
    {
        bool table = false;
        bool peers = false;
        bool over = false;
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
    int m_activeStoreReads = 0; ///< that are under way
    document_head m_targetHead; ///< what is being finishLoad, or was last
    std::shared_ptr<const versioned_document> m_current;
    std::vector<std::function<void()>> m_changeObservers;
    std::vector<std::function<void()>> m_platformObservers;
};

/// Reads of the head that a whole fleet makes at most, in a second.
inline constexpr double max_head_reads_per_second = 400.0;

} // namespace ivypier::configuration
