#pragma once

#include "base/clock.h"
#include "base/outcome.h"
#include "base/secret.h"
#include "fleet/permit_bucket.h"
#include "relay/call_permits.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier::fleet {

enum class permit_message_kind : std::uint8_t {
    request, ///< asks the keeper of an upstream's ledger for a permit
    reply, ///< the keeper's decision
    answer, ///< tells the keeper what an upstream stated in an answer
    queued, ///< the keeper's word that it has a request and decides later
    withdrawal, ///< the caller of a request has gone
    inquiry, ///< asks a node, on behalf of a new keeper, what it sent lately
    report, ///< the calls that a node sent lately
    moved, ///< another node keeps the ledger by now
};

/// A message between a node that sends calls to a limited upstream and the node that keeps its ledger.
struct permit_message
{
    permit_message_kind kind = permit_message_kind::request;
    std::uint64_t number = 0; ///< of the request or inquiry, repeated in what responds to it
    std::string upstream;
    double callsPerSecond = 0.0; ///< as the sender knows it; 0: no limit
    duration statedAgo{}; ///< of a request: since the sender was told the limit
    bool isGranted = false; ///< of a reply
    duration nextPermit{}; ///< of a reply
    duration returnAfter{}; ///< of a reply
    relay::permit_request details; ///< of a request
    sent_counts sent{}; ///< of a report
    std::string keeper; ///< of `moved`: the host of the node that keeps the ledger

    auto operator<=>(const permit_message &) const = default;
};

/// Returns the datagram of a message: an authenticator computed with the fleet key, and a msgpack array.
std::string encodePermitMessage(const secret_key &fleetKey, const permit_message &message);

/// Fails with `unauthenticated` if the datagram was sealed with another key, and with `invalid_argument` if
/// its content is not a valid message.
outcome<permit_message> decodePermitMessage(const secret_key &fleetKey, std::string_view datagram);

} // namespace ivypier::fleet
