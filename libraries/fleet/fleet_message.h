#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "fleet/metric_sample.h"
#include "membership/member.h"

#include <string_view>
#include <vector>

namespace ivypier::fleet {

enum class fleet_message_kind : std::uint8_t {
    report, ///< a node's own metricSamples; answered with totals
    totals, ///< a collector's sums over all nodes but the asker
};

/// Numbers that one node tells another. Those of one round may come in several datagrams.
struct fleet_message
{
    fleet_message_kind kind = fleet_message_kind::report;
    membership::incarnation sender = 0;
    std::uint64_t round = 0; ///< grows with each report of a node; totals bear the round that they sendTotals
    bool isLast = true; ///< of the datagrams of its round
    std::vector<metric_sample> metricSamples;

    auto operator<=>(const fleet_message &) const = default;
};

/// Turns tellings into datagrams and back: an authenticator made with the fleet's key, then a msgpack array.
class fleet_message_codec
{
public:
    explicit fleet_message_codec(const secret_key &fleetKey);

    /// As many datagrams as the metricSamples need, at least one; each is within the limit of a datagram.
    std::vector<std::string> encode(const fleet_message &message) const;

    /// `unauthenticated` for a datagram of another fleet, `invalid_argument` for one that is no
    /// fleet_message.
    outcome<fleet_message> decode(std::string_view datagram) const;

private:
    secret_key m_fleetKey;
};

} // namespace ivypier::fleet
