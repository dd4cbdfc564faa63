#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "fleet/metric_sample.h"
#include "membership/member.h"

#include <string_view>
#include <vector>

namespace ivypier::fleet {

enum class fleet_message_kind : std::uint8_t {
    report, ///< samples of the sending node; the receiver replies with totals
    totals, ///< a collector's sums over all nodes except the one that it replies to
    ended_node, ///< runs of a node that ended, from a collector to the others of its group; `sender` is that
                ///< node
    domain_sums, ///< a collector's sums over the nodes of its failure domain, for other domains' collectors
};

/// Holds metric samples that one node sends to another. A message may span several datagrams.
struct fleet_message
{
    fleet_message_kind kind = fleet_message_kind::report;
    membership::incarnation sender = 0;
    std::uint64_t round = 0; ///< increases with each report of a node; totals carry the round of the report
    bool isLast = true; ///< true in the last datagram of a message
    bool needsLoads = true; ///< of a report: whether the totals in reply have to contain loads
    std::vector<metric_sample> metricSamples;

    auto operator<=>(const fleet_message &) const = default;
};

/// Encodes messages as datagrams and decodes them. A datagram is an authenticator computed with the fleet
/// key, followed by a msgpack array.
class fleet_message_codec
{
public:
    explicit fleet_message_codec(const secret_key &fleetKey);

    /// Returns one or more datagrams, each within `membership::max_datagram_bytes`. Samples whose name is too
    /// long for a datagram are left out.
    std::vector<std::string> encode(const fleet_message &message) const;

    /// Returns the part of a message that a datagram holds. Fails with `unauthenticated` if the datagram was
    /// sealed with another key, and with `invalid_argument` if its content is not a valid message.
    outcome<fleet_message> decode(std::string_view datagram) const;

private:
    secret_key m_fleetKey;
};

} // namespace ivypier::fleet
