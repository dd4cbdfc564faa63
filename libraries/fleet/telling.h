#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "fleet/told_number.h"
#include "membership/member.h"

#include <string_view>
#include <vector>

namespace ivypier::fleet {

enum class telling_kind : std::uint8_t {
    report, ///< a node's own numbers; answered with totals
    totals, ///< a collector's sums over all nodes but the asker
};

/// Numbers that one node tells another. Those of one round may come in several datagrams.
struct telling
{
    telling_kind kind = telling_kind::report;
    membership::incarnation sender = 0;
    std::uint64_t round = 0; ///< grows with each report of a node; totals bear the round that they answer
    bool isLast = true; ///< of the datagrams of its round
    std::vector<told_number> numbers;

    auto operator<=>(const telling &) const = default;
};

/// Turns tellings into datagrams and back: an authenticator made with the fleet's key, then a msgpack array.
class telling_codec
{
public:
    explicit telling_codec(const secret_key &fleetKey);

    /// As many datagrams as the numbers need, at least one; each is within the limit of a datagram.
    std::vector<std::string> encode(const telling &content) const;

    /// `unauthenticated` for a datagram of another fleet, `invalid_argument` for one that is no telling.
    outcome<telling> decode(std::string_view datagram) const;

private:
    secret_key m_fleetKey;
};

} // namespace ivypier::fleet
