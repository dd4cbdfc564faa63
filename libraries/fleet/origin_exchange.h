#pragma once

#include "base/scheduler.h"
#include "fleet/deviation_sender.h"
#include "fleet/keeper_ranking.h"
#include "fleet/origin_ledger.h"
#include "fleet/origin_message.h"
#include "fleet/origin_recorder.h"
#include "membership/datagram_channel.h"
#include "relay/stream_origins.h"

#include <map>
#include <set>

namespace ivypier::fleet {

/// Keeps the records of where streams began at two nodes in different failure domains, besides the node that
/// forwards the stream, and looks them up there. Docs: docs/design/stream-versions.md.
class origin_exchange final : public relay::stream_origins
{
public:
    static constexpr int max_tries = 2;
    /// How long the nodes that are asked may take to reply; the question is sent twice.
    static constexpr duration reply_timeout = relay::max_origin_lookup_time / max_tries;

    /// `port` is the port of the exchange on every node. Without a recorder, records are kept in memory only.
    origin_exchange(scheduler &tasks, membership::datagram_channel &channel, const secret_key &fleetKey,
                    membership::membership_view &members, std::uint16_t port,
                    origin_recorder *recorder = nullptr);

    /// Starts to listen for messages.
    void start();

    void record(const relay::stream_key &stream, const relay::stream_origin &origin,
                duration lifetime) override;
    void find(const relay::stream_key &stream, completion done) override;
    void findStored(const relay::stream_key &stream, completion done) override;
    void findDeviation(const relay::stream_key &stream, deviation_completion done) override;
    void storeDeviation(const relay::stream_key &stream, duration lifetime,
                        std::function<void()> onStored) override;
    bool areDeviationsLate() const override;

    /// Sets the services of whose streams records go to the platform's table, because streams may begin at
    /// several software versions. The records of this node's streams of a service that is new among them are
    /// sent to their recorders. They are sent again when another node becomes their recorder.
    void setStoredServices(std::set<std::string> services);

    /// Sends the records that this node holds to the nodes that keep them once it has left. Its own are among
    /// them, because their keepers may have started again. Records that it handed over before are left out.
    void handOver();

    /// Returns the number of records that this node holds.
    std::size_t recordCount() const
    {
        return m_ledger.size();
    }
    std::uint64_t datagramsSent() const
    {
        return m_datagramsSent;
    }

private:
    struct pending_question
    {
        relay::stream_key stream;
        completion done;
        std::set<endpoint> awaited; ///< nodes that have not replied
        timer_id timer{};
        int tries = 0;
    };

    void send(const endpoint &to, const origin_message &message);
    void sendQuestion(std::uint64_t number);
    void onTimeout(std::uint64_t number);
    void receive(const endpoint &from, std::string_view datagram);
    std::optional<endpoint> recorderOf(std::size_t shard);
    void store(const std::vector<origin_entry> &entries);
    void storeOwnRecords(const std::set<std::string> &services, const std::set<std::string> &added,
                         const std::set<std::size_t> &takenOver);
    void sendDeviation(const relay::stream_key &stream, duration lifetime);
    void recordDeviation(const endpoint &from, const origin_message &message);
    void answerQuestion(const endpoint &from, const origin_message &question);
    void applyReply(const endpoint &from, const origin_message &reply);
    static relay::origin_lookup lookupOf(const origin_entry &entry);

    scheduler &m_tasks;
    membership::datagram_channel &m_channel;
    secret_key m_fleetKey;
    membership::membership_view &m_members;
    std::uint16_t m_port;
    origin_recorder *m_recorder;
    std::set<std::string> m_storedServices;
    std::map<std::size_t, endpoint> m_knownRecorders; ///< by shard; to notice that another node took over
    keeper_ranking m_ranking;
    origin_ledger m_ledger;
    deviation_sender m_deviations;
    std::map<std::uint64_t, pending_question> m_pending;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_datagramsSent = 0;
};

} // namespace ivypier::fleet
