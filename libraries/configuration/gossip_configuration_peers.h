#pragma once

#include "base/random_source.h"
#include "configuration/configuration_peers.h"
#include "membership/membership_view.h"
#include "rpc/peer_client.h"
#include "rpc/peer_server.h"

#include <functional>

namespace ivypier::configuration {

/// Announces heads by gossip in the fact `configuration`, and fetches objects by RPC from members of the
/// region.
class gossip_configuration_peers final : public configuration_peers
{
public:
    /// Registers a method that other nodes can call, like rpc::peer_server::add().
    using method_registrar = std::function<void(const std::string &name, rpc::peer_server::method handler)>;

    gossip_configuration_peers(random_source &randomness, membership::membership_view &members,
                               rpc::peer_client &calls, method_registrar registerMethod,
                               std::function<std::size_t()> fleetSize);

    void announce(const document_head &head) override;
    void onHeadAnnounced(std::function<void(const document_head &)> observer) override;
    void queryHeads(std::function<void(const std::vector<document_head> &)> done) override;
    std::size_t fleetSize() const override;
    void serve(std::function<document_head()> newestHead,
               std::function<object_map(const std::vector<std::string> &)> objects) override;
    void fetch(const std::vector<std::string> &digests, completion done) override;

private:
    struct head_query;

    std::vector<endpoint> pickPeers(std::size_t count) const;
    void fetchFrom(std::vector<endpoint> peers, const std::vector<std::string> &digests, object_map fetched,
                   completion done);

    random_source &m_random;
    membership::membership_view &m_members;
    rpc::peer_client &m_calls;
    method_registrar m_registerMethod;
    std::function<std::size_t()> m_fleetSize;
};

/// Maximum total size of the objects in one response to a peer, in bytes.
inline constexpr std::size_t max_objects_response_bytes = 256UL * 1024;

} // namespace ivypier::configuration
