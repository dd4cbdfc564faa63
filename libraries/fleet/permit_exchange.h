#pragma once

#include "base/scheduler.h"
#include "fleet/permit_keeper.h"
#include "fleet/permit_message.h"
#include "membership/datagram_channel.h"
#include "membership/membership_view.h"
#include "relay/call_permits.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ivypier::fleet {

/// Obtains the permits for calls to upstreams that stated a limit.
///
/// One node keeps the ledger of an upstream: the first by rendezvous hash of the upstream among the members
/// that accept work and answered lately. A share for each node would not do: of a limit of one call a second
/// a node of a large fleet would have one call in minutes. A node that begins to keep a ledger asks all
/// others what they sent in the last seconds. Docs: docs/design/upstream-statements.md.
class permit_exchange final : public relay::call_permits
{
public:
    /// How long the keeper may take to reply; the request is sent twice.
    static constexpr duration reply_timeout = std::chrono::milliseconds(100);
    static constexpr int max_tries = 2;
    /// Interval at which a request that the keeper has queued is sent again, to see that the keeper lives.
    static constexpr duration queue_check_interval = std::chrono::milliseconds(300);
    /// How long a keeper that did not reply is passed over.
    static constexpr duration keeper_cooldown = std::chrono::milliseconds(1500);
    /// How often a request may be passed on by former keepers.
    static constexpr int max_redirections = 3;
    /// Shortest time between two answers of an upstream that are told to its keeper.
    static constexpr duration answer_interval = std::chrono::milliseconds(100);

    /// `port` is the port of the exchange on every node.
    permit_exchange(scheduler &tasks, random_source &randomness, membership::datagram_channel &channel,
                    const secret_key &fleetKey, membership::membership_view &members, std::uint16_t port);

    /// Starts to listen for messages and to follow the members.
    void start();

    bool isNeeded(const std::string &upstream) const override;
    std::optional<relay::permit_decision> knownRefusal(const std::string &upstream) override;
    relay::permit_request_id request(const std::string &upstream, const relay::permit_request &details,
                                     completion done) override;
    void withdraw(relay::permit_request_id id) override;
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
        time_point refusedUntil{}; ///< no permit for new calls is to be had before
        duration returnSpread{}; ///< refused callers return within this time after a permit
        std::deque<time_point> sentAt; ///< of the calls that got a permit lately
    };
    /// A request of this node.
    struct pending_request
    {
        std::string upstream;
        relay::permit_request details;
        completion done;
        time_point startedAt{};
        std::string keeperHost;
        membership::incarnation keeper = 0; ///< 0 if another node named the keeper
        std::optional<timer_id> timer;
        int tries = 0;
        int redirections = 0;
    };
    bool isSelf(const pending_request &pending) const;
    std::optional<membership::member> keeperOf(const std::string &upstream) const;
    limit_statement statementOf(const std::string &upstream) const;
    relay::permit_request remaining(const pending_request &pending) const;
    sent_counts sentLately(const std::string &upstream);

    void sendToKeeper(std::uint64_t number);
    void decideHere(std::uint64_t number);
    void sendTo(std::uint64_t number, membership::incarnation keeper, const std::string &keeperHost);
    void sendRequest(std::uint64_t number);
    void onTimeout(std::uint64_t number);
    void complete(std::uint64_t number, const relay::permit_decision &decision);
    void applyDecision(limited_upstream &known, const pending_request &of,
                       const relay::permit_decision &decision);

    void send(const std::string &host, const permit_message &message);
    void sendReply(const endpoint &to, const permit_message &request, const relay::permit_decision &decision);
    void sendMoved(const endpoint &to, const permit_message &request, const std::string &host);
    void receive(const endpoint &from, std::string_view datagram);
    void answerRequest(const endpoint &from, const permit_message &message);
    void answerInquiry(const endpoint &from, const permit_message &message);
    void applyReply(const permit_message &reply);
    void applyQueued(const permit_message &queued);
    void applyMoved(const permit_message &moved);

    scheduler &m_tasks;
    random_source &m_random;
    membership::datagram_channel &m_channel;
    secret_key m_fleetKey;
    membership::membership_view &m_members;
    std::uint16_t m_port;
    permit_keeper m_keeper;
    std::map<std::string, limited_upstream> m_upstreams;
    std::map<std::uint64_t, pending_request> m_pending;
    std::map<membership::incarnation, time_point> m_unresponsive;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_refusals = 0;
};

} // namespace ivypier::fleet
