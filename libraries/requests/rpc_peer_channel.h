#pragma once

#include "membership/membership_view.h"
#include "requests/peer_channel.h"
#include "requests/request_service.h"
#include "requests/witness_ledger.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

namespace ivypier::requests {

/// Returns the key of the membership fact that names the node acting for a witness that left.
std::string witnessFactKey(incarnation witness);

/// Implements peer_channel over JSON-RPC. Every message contains the incarnation that it is addressed to, so
/// that a node that restarted at the same address never answers for its predecessor.
class rpc_peer_channel final : public peer_channel
{
public:
    rpc_peer_channel(membership::membership_view &members, rpc::peer_client &peers);

    /// Registers the methods that other nodes call at a node's server. All parameters must outlive the
    /// server.
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
