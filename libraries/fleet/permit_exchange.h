#pragma once

#include "base/scheduler.h"
#include "fleet/permit_ledger.h"
#include "fleet/permit_message.h"
#include "membership/datagram_channel.h"
#include "membership/membership_view.h"
#include "relay/call_permits.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// Obtains the permits for calls to upstreams that stated a limit.
///
/// One node keeps the ledger of an upstream: the first by rendezvous hash of the upstream among the members
/// that accept work and answered lately. A share for each node would not do: of a limit of one call a second
/// a node of a large fleet would have one call in minutes. Docs: docs/design/upstream-statements.md.
class permit_exchange final : public relay::call_permits
{
public:
    /// How long the keeper may take to reply; the request is sent twice.
    static constexpr duration reply_timeout = std::chrono::milliseconds(100);
    static constexpr int max_tries = 2;
    /// How long a keeper that did not reply is passed over.
    static constexpr duration keeper_cooldown = std::chrono::milliseconds(1500);
    /// Shortest time between two answers of an upstream that are told to its keeper.
    static constexpr duration answer_interval = std::chrono::milliseconds(100);

    /// `port` is the port of the exchange on every node.
    permit_exchange(scheduler &tasks, random_source &randomness, membership::datagram_channel &channel,
                    const secret_key &fleetKey, const membership::membership_view &members,
                    std::uint16_t port);

    /// Starts to listen for messages.
    void start();

    bool isNeeded(const std::string &upstream) const override;
    std::optional<relay::permit_decision> knownRefusal(const std::string &upstream) override;
    void request(const std::string &upstream, completion done) override;
    void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond) override;

    /// Returns the limits that this node was told, by upstream, with their ages.
    std::map<std::string, std::pair<double, duration>> limits() const;

    /// Returns how many calls did not get a permit since the start.
    std::uint64_t refusals() const
    {
        return m_refusals;
    }

private:
    /// What this node knows of an upstream that stated a limit.
    struct limited_upstream
    {
        double callsPerSecond = 0.0;
        time_point statedAt{};
        time_point answerToldAt{}; ///< when the keeper was last told of an answer
        time_point refusedUntil{}; ///< no permit is to be had before
        duration returnSpread{}; ///< refused callers return within this time after a permit
    };
    struct pending_request
    {
        std::string upstream;
        membership::member keeper;
        completion done;
        timer_id timer{};
        int tries = 0;
    };

    std::optional<membership::member> keeperOf(const std::string &upstream) const;
    void sendRequest(std::uint64_t number);
    void onTimeout(std::uint64_t number);
    void receive(const endpoint &from, std::string_view datagram);
    void answerRequest(const endpoint &from, const permit_message &message);
    void applyReply(const permit_message &reply);
    void applyDecision(const std::string &upstream, const relay::permit_decision &decision);

    scheduler &m_tasks;
    random_source &m_random;
    membership::datagram_channel &m_channel;
    secret_key m_fleetKey;
    const membership::membership_view &m_members;
    std::uint16_t m_port;
    permit_ledger m_ledger;
    std::map<std::string, limited_upstream> m_upstreams;
    std::map<std::uint64_t, pending_request> m_pending;
    std::map<membership::incarnation, time_point> m_unresponsive;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_refusals = 0;
};

} // namespace ivypier::fleet
