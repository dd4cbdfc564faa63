#pragma once

#include "membership/membership_view.h"
#include "requests/peer_channel.h"
#include "requests/request_service.h"
#include "requests/witness_ledger.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

namespace ivypier::requests {

/// Name of the membership fact that tells who speaks for a witness that left.
std::string witnessFactKey(incarnation witness);

/// The requests slice's messages over JSON-RPC. Every message names the incarnation that it is for, so that a
/// node which started again at an address never answers for the one before it.
class rpc_peer_channel final : public peer_channel
{
public:
    rpc_peer_channel(membership::membership_view &members, rpc::peer_client &peers);

    /// Adds the methods that other nodes call to a node's server. All parameters outlive it.
    static void serve(rpc::peer_server &methods, membership::membership_view &members, witness_ledger &ledger,
                      request_service &requests);

    void requestGrant(const dispatch_intent &intent, std::function<void(outcome<bool>)> done) override;
    void requestVerdict(const request_name &request,
                        std::function<void(outcome<witness_verdict>)> done) override;
    void queryHolder(const request_name &request, std::function<void(outcome<incarnation>)> done) override;
    void sendAnswer(const request_name &request, const final_answer &answer) override;
    void handOver(incarnation successor, const handover_payload &payload,
                  std::function<void(outcome<void>)> done) override;
    void queryConversation(incarnation node, const std::string &conversation,
                           std::function<void(outcome<bool>)> done) override;
    void sendRecords(incarnation successor, const witness_records &records,
                     std::function<void(outcome<void>)> done) override;
    void activateWitness(incarnation successor, const std::vector<incarnation> &witnesses,
                         std::function<void(outcome<void>)> done) override;

private:
    void call(incarnation to, const std::string &method, Json::Value parameters,
              rpc::peer_client::completion done);
    incarnation currentWitness(incarnation witness) const;

    membership::membership_view &m_members;
    rpc::peer_client &m_peers;
};

} // namespace ivypier::requests
