#pragma once

#include "base/scheduler.h"
#include "fleet/crash_message.h"
#include "fleet/keeper_ranking.h"
#include "membership/datagram_channel.h"

#include <functional>
#include <map>
#include <set>

namespace ivypier::fleet {

/// Tells the nodes that keep the evidence of a service what this node has seen, until each of them has
/// confirmed it; also those that become keepers later.
class crash_reporter
{
public:
    using local_receiver = std::function<void(const crash_message &)>;

    static constexpr duration tick_interval = std::chrono::milliseconds(100);
    /// Time until a message is sent again to a keeper that has not confirmed it; doubled each time.
    static constexpr duration first_resend_interval = std::chrono::milliseconds(150);
    static constexpr duration last_resend_interval = std::chrono::seconds(5);
    /// How long ends are sent to nodes that become keepers.
    static constexpr duration end_retention = std::chrono::minutes(10);
    static constexpr duration answer_retention = std::chrono::seconds(3);
    static constexpr std::size_t max_messages = 128;

    /// `port` is the port of the exchange on every node. `receiveLocally` gets the messages for this node.
    crash_reporter(scheduler &tasks, membership::datagram_channel &channel, const secret_key &fleetKey,
                   const membership::membership_view &members, keeper_ranking &ranking, std::uint16_t port,
                   local_receiver receiveLocally);

    /// Sends a message to the keepers of its service. Its ages count from now.
    void report(crash_message message);

    /// Records that a keeper has confirmed a message.
    void confirm(std::uint64_t number, membership::incarnation keeper);

    std::uint64_t datagramsSent() const
    {
        return m_datagramsSent;
    }

private:
    struct outgoing_message
    {
        crash_message message;
        time_point createdAt{};
        std::set<membership::incarnation> confirmedBy;
        time_point nextSend{};
        duration resendInterval = first_resend_interval;
    };

    void scheduleTick();
    void tick();
    void send(outgoing_message &outgoing);

    scheduler &m_tasks;
    membership::datagram_channel &m_channel;
    secret_key m_fleetKey;
    const membership::membership_view &m_members;
    keeper_ranking &m_ranking;
    std::uint16_t m_port;
    local_receiver m_receiveLocally;
    std::map<std::uint64_t, outgoing_message> m_outgoing;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_datagramsSent = 0;
    bool m_isTickScheduled = false;
};

} // namespace ivypier::fleet
