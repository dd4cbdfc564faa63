#pragma once

#include "membership/membership_view.h"
#include "requests/peer_channel.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

namespace ivypier::requests {

/// The peer channel over JSON-RPC, with addresses from the membership.
class rpc_peer_channel final : public peer_channel
{
public:
    rpc_peer_channel(const membership::membership_view &members, rpc::peer_client &peers);

    /// Adds the methods that answer other nodes from this node's ledger.
    static void serve(rpc::peer_server &methods, witness_ledger &ledger);

    void askGrant(incarnation witness, const dispatch_intent &intent,
                  std::function<void(outcome<bool>)> done) override;
    void askVerdict(incarnation witness, const std::string &request,
                    std::function<void(outcome<witness_verdict>)> done) override;
    void passAnswer(incarnation witness, const std::string &request, const final_answer &answer) override;

private:
    void call(incarnation to, const std::string &method, Json::Value parameters,
              rpc::peer_client::completion done);

    const membership::membership_view &m_members;
    rpc::peer_client &m_peers;
};

} // namespace ivypier::requests
