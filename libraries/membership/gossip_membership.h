#pragma once

#include "base/random_source.h"
#include "base/scheduler.h"
#include "base/secret.h"
#include "membership/anti_entropy.h"
#include "membership/broadcast_queue.h"
#include "membership/datagram_channel.h"
#include "membership/fact_store.h"
#include "membership/failure_detector.h"
#include "membership/gossip_sender.h"
#include "membership/local_health.h"
#include "membership/member_table.h"
#include "membership/membership_view.h"
#include "membership/region_links.h"
#include "membership/suspicion_list.h"

#include <vector>

namespace ivypier::membership {

/// Membership by failure detection and gossip over datagrams; docs/design/membership.md describes the
/// protocol. The node knows each member of its own region, and a summary per failure domain of other regions.
class gossip_membership final : public membership_view
{
public:
    gossip_membership(scheduler &tasks, random_source &randomness, datagram_channel &channel,
                      const secret_key &fleetKey, member self, std::vector<endpoint> seeds);

    /// Contacts the seeds and starts to probe members. Further calls have no effect.
    void start();

    /// Replaces the addresses at which to discover other members, e.g. with the platform's list of nodes.
    void setSeeds(std::vector<endpoint> seeds);

    /// Records that the platform just answered this node; see isolated().
    void recordPlatformResponse();

    /// Announces that this node stops now, so that other members needn't detect it, and stops the protocol.
    void announceStop();

    member self() const override;
    std::vector<member> members() const override;
    std::optional<member> find(incarnation id) const override;
    std::optional<fact> findFact(const std::string &key) const override;
    std::vector<fact> facts(const std::string &prefix) const override;
    void publish(const fact &update) override;
    void onMembersChanged(std::function<void()> observer) override;
    void onFact(std::function<void(const fact &)> observer) override;
    void leave() override;
    bool isolated() const override;

    /// Returns the last received summaries of the failure domains of other regions.
    std::vector<domain_summary> otherRegions() const;

    /// Returns the number of members of this region that aren't dead, this node included.
    std::size_t memberCount() const;

    /// Returns the number of nodes in all regions: the members of this region and the sum of the others'
    /// summaries.
    std::size_t fleetSize() const;

    const gossip_traffic &traffic() const;

private:
    void tick();
    void handleResume();
    void receive(const endpoint &from, std::string_view datagram);
    void dispatch(const gossip_message &message, const endpoint &from);
    void handleSender(const gossip_message &message, const endpoint &from);
    void applyMemberUpdate(const member_update &update, const gossip_message &message, const endpoint &from);
    void recordSuspicion(const member_update &update);
    void refute(const member_update &update);
    void applyFactUpdate(const fact_update &update);
    void reportSuspect(incarnation id);
    void declareDead(incarnation id, generation at);
    void expireSuspicions();
    void sendUpdates();
    void runAntiEntropy();
    void sendDiscoveryPing();
    void compareIfHashesDiffer(const gossip_message &ping, const endpoint &from);
    void syncRegions();
    void removeExpired();
    void sendUpdatesNow();
    void queueUpdate(const member_record &record);
    void notifyMembersChanged();
    bool due(time_point &at, duration interval);

    scheduler &m_tasks;
    random_source &m_random;
    datagram_channel &m_channel;
    member_table m_members;
    fact_store m_facts;
    broadcast_queue m_queue;
    suspicion_list m_suspicions;
    local_health m_health;
    gossip_sender m_sender;
    anti_entropy m_antiEntropy;
    failure_detector m_detector;
    region_links m_regions;
    std::vector<endpoint> m_seeds;
    /// Sequence numbers of pings to addresses without a known member.
    std::vector<std::uint32_t> m_discoveryPings;
    std::uint32_t m_discoverySequence;
    std::vector<std::function<void()>> m_memberObservers;
    std::vector<std::function<void(const fact &)>> m_factObservers;
    std::optional<time_point> m_lastPeerMessageAt;
    std::optional<time_point> m_lastPlatformResponseAt;
    time_point m_lastTickAt;
    time_point m_nextGossip;
    time_point m_nextCompare;
    time_point m_nextQuickCompare;
    time_point m_nextDiscoveryAt;
    time_point m_nextRegionCompare;
    time_point m_nextSummary;
    time_point m_nextCleanup;
    bool m_started = false;
    bool m_stopped = false;
};

/// Time without an answer from the platform or another member after which a node counts as isolated.
inline constexpr duration isolation_timeout = std::chrono::seconds(5);

} // namespace ivypier::membership
