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

/// Membership by probing and gossip over datagrams; docs/design/membership.md describes the protocol. Members
/// of this node's region are known one by one, other regions by a summary of each failure domain.
class gossip_membership final : public membership_view
{
public:
    gossip_membership(scheduler &tasks, random_source &randomness, datagram_channel &channel,
                      const secret_key &fleetKey, member self, std::vector<endpoint> seeds);

    /// Asks the seeds and starts to probe.
    void start();

    /// Replaces the addresses to ask for other members, e.g. by the platform's list of nodes.
    void setSeeds(std::vector<endpoint> seeds);

    /// The platform answered this node just now; see isolated().
    void recordPlatformResponse();

    /// Tells the others that this node stops now, so that they need not find out.
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

    /// Failure domains of other regions, as they were last told.
    std::vector<domain_summary> otherRegions() const;

    /// Members of this region that are not dead, this node included.
    std::size_t memberCount() const;

    /// Nodes in all regions, as far as known.
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
    void changed();
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
    std::vector<std::uint32_t>
        m_discoveryPings; ///< sequences of pings to addresses whose member is not known
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

/// A node counts as isolated when neither the platform nor a member answered for this long.
inline constexpr duration isolation_timeout = std::chrono::seconds(5);

} // namespace ivypier::membership
