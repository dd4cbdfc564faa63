#pragma once

#include "base/clock.h"
#include "membership/member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ivypier::fleet {

/// Sums the evidence on rollouts over the fleet.
///
/// Each total belongs to one order and grows from 0 on each node, so the newest value of each node is summed,
/// also after the node is gone. The nodes of a domain may have reported to its collectors, to this node or to
/// both: of a domain the larger sum is used.
class evidence_sums
{
public:
    using totals = std::map<std::string, std::uint64_t>;

    /// A total that nobody reported for this long is dropped: its rollout has ended.
    static constexpr duration retention = std::chrono::seconds(30);
    /// Totals that are kept; further ones are ignored.
    static constexpr std::size_t max_totals = 8192;

    explicit evidence_sums(const clock &time);

    /// Takes a total of one node.
    void addNode(membership::incarnation node, const std::string &failureDomain, const std::string &name,
                 std::uint64_t value);

    /// Takes the sum over a domain that one of its collectors sent.
    void addDomain(const std::string &failureDomain, const std::string &name, std::uint64_t value);

    /// Returns the sums over all nodes.
    totals all() const;

    /// Returns the sums over the nodes that reported to this node and whose domain `isIncluded`.
    totals ofNodes(const std::function<bool(const std::string &failureDomain)> &isIncluded) const;

private:
    struct domain_total
    {
        std::map<membership::incarnation, std::uint64_t> byNode;
        std::uint64_t ofNodes = 0; ///< the sum of `byNode`
        std::uint64_t ofCollectors = 0; ///< the largest that a collector of the domain sent
    };
    struct total
    {
        std::map<std::string, domain_total> byDomain;
        time_point reportedAt{};
    };

    total *find(const std::string &name);

    const clock &m_time;
    time_point m_lastExpiryAt{};
    std::map<std::string, total> m_totals;
};

} // namespace ivypier::fleet
