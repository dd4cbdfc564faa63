#pragma once

#include "base/scheduler.h"
#include "membership/membership_view.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

#include <map>
#include <vector>

namespace ivypier::membership {

/// Membership by exchanging the whole state with every seed, as a baseline for measuring the gossip protocol.
/// Its traffic grows with the square of the fleet size, so it suits only a handful of nodes.
class exchange_membership final : public membership_view
{
public:
    exchange_membership(scheduler &tasks, rpc::peer_client &peers, rpc::peer_server &methods, member self,
                        std::vector<endpoint> seeds);

    /// Starts the periodic exchange with the seeds.
    void start();

    member self() const override;
    std::vector<member> members() const override;
    std::optional<member> find(incarnation id) const override;
    std::optional<fact> findFact(const std::string &key) const override;
    std::vector<fact> facts(const std::string &prefix) const override;
    void publish(const fact &update) override;
    void onMembersChanged(std::function<void()> observer) override;
    void onFact(std::function<void(const fact &)> observer) override;
    void leave() override;

private:
    struct known_member
    {
        member entry;
        time_point lastSeenAt;
    };

    void exchangeWithSeeds();
    Json::Value snapshot() const;
    void applySnapshot(const Json::Value &snapshot);
    void applyMember(const Json::Value &json, std::uint64_t ageMilliseconds);
    void updateStates();
    void notifyMembersChanged();

    scheduler &m_tasks;
    rpc::peer_client &m_peers;
    member m_self;
    std::vector<endpoint> m_seeds;
    std::map<incarnation, known_member> m_members;
    std::map<std::string, fact> m_facts;
    std::vector<std::function<void()>> m_memberObservers;
    std::vector<std::function<void(const fact &)>> m_factObservers;
};

} // namespace ivypier::membership
