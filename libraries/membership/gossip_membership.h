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
    void platformAnswered();

    /// Tells the others that this node stops now, so that they need not find out.
    void depart();

    member self() const override;
    std::vector<member> members() const override;
    std::optional<member> find(incarnation id) const override;
    std::optional<fact> findFact(const std::string &key) const override;
    std::vector<fact> facts(const std::string &prefix) const override;
    void publish(const fact &news) override;
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
    void wokeUp();
    void receive(const endpoint &from, std::string_view datagram);
    void dispatch(const gossip_message &message, const endpoint &from);
    void meetSender(const gossip_message &message, const endpoint &from);
    void takeNews(const member_news &news, const gossip_message &message, const endpoint &from);
    void noteSuspicion(const member_news &news);
    void defend(const member_news &news);
    void takeFact(const fact_news &news);
    void accuse(incarnation id);
    void declareDead(incarnation id, generation at);
    void endSuspicions();
    void spread();
    void evenOut();
    void reachOut();
    void compareIfDifferent(const gossip_message &ping, const endpoint &from);
    void linkRegions();
    void forgetOld();
    void tellNow();
    void passOn(const member_record &record);
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
    anti_entropy m_compare;
    failure_detector m_detector;
    region_links m_regions;
    std::vector<endpoint> m_seeds;
    std::vector<std::uint32_t> m_greetings; ///< sequences of pings to addresses whose member is not known
    std::uint32_t m_nextGreeting;
    std::vector<std::function<void()>> m_memberObservers;
    std::vector<std::function<void(const fact &)>> m_factObservers;
    std::optional<time_point> m_peerHeardAt;
    std::optional<time_point> m_platformHeardAt;
    time_point m_tickedAt;
    time_point m_nextSpread;
    time_point m_nextCompare;
    time_point m_nextQuickCompare;
    time_point m_nextGreetingAt;
    time_point m_nextRegionCompare;
    time_point m_nextSummary;
    time_point m_nextForget;
    bool m_started = false;
    bool m_departed = false;
};

/// A node counts as isolated when neither the platform nor a member answered for this long.
inline constexpr duration isolation_time = std::chrono::seconds(5);

} // namespace ivypier::membership
