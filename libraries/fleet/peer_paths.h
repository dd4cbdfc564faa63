#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "membership/membership_view.h"
#include "relay/forwarding_peers.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace ivypier::fleet {

/// Tells the fleet whether this node reaches the upstreams, by a fact `path/<node>`, and chooses nodes that
/// do.
class peer_paths final : public relay::forwarding_peers
{
public:
    /// How long a node that could not send a call is not chosen.
    static constexpr duration failure_retention = std::chrono::seconds(2);

    /// `port` is the port for calls between nodes on every node; `wallMilliseconds` numbers the facts.
    peer_paths(const clock &time, random_source &randomness, membership::membership_view &members,
               std::uint16_t port, std::function<std::int64_t()> wallMilliseconds);

    /// Publishes whether this node's paths to the upstreams are impaired, if the fleet has not been told yet.
    /// Must be called a few times per second.
    void update(bool isImpaired);

    std::optional<endpoint> choose(const std::set<endpoint> &excluded) override;
    void recordFailure(const endpoint &peer) override;

    /// Returns the names of the nodes whose paths are impaired.
    std::set<std::string> impairedNodes() const;

private:
    const clock &m_time;
    random_source &m_random;
    membership::membership_view &m_members;
    std::uint16_t m_port;
    std::function<std::int64_t()> m_wallMilliseconds;
    std::map<endpoint, time_point> m_failures;
};

} // namespace ivypier::fleet
