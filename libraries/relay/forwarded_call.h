#pragma once

#include "base/outcome.h"
#include "http/exchange_transport.h"
#include "http/reply.h"

#include <optional>
#include <string>

namespace ivypier::relay {

/// Path of the requests by which a node has another node send a call to an upstream.
inline constexpr const char *forwarded_call_path = "/forwarded-call";

/// A call that a node sends to an upstream for another node.
struct forwarded_call
{
    endpoint upstream;
    std::string callId; ///< by which the answer is told from answers to other calls
    bool isHeadRequest = false;
    std::string bytes; ///< the complete encoded request for the upstream

    auto operator<=>(const forwarded_call &) const = default;
};

/// Why a node could not send a call for another one, or got no answer to it.
struct forwarding_failure
{
    http::exchange_failure failure;
    bool hasNoPath = false; ///< the node can't reach the upstream; another node may
    bool isImpaired = false; ///< the node can't reach most upstreams

    auto operator<=>(const forwarding_failure &) const = default;
};

/// Returns the complete encoded request to a node.
std::string encodeForwardedCall(const endpoint &peer, const forwarded_call &call);

/// Fails with `invalid_argument` if the request names no upstream.
outcome<forwarded_call> decodeForwardedCall(const http::incoming_request &incoming);

/// Returns the fields of the response that forwards the head of an upstream's answer. Its own status is 200.
http::field_list encodeForwardedHead(const http::response_head &head);

/// Returns the fields of the response that tells a failure. Its status is 502.
http::field_list encodeForwardingFailure(const forwarding_failure &failure);

/// Returns the head of the upstream's answer, or nothing if the response tells a failure.
std::optional<http::response_head> decodeForwardedHead(const http::response_head &response);

/// Returns the failure that a response without a forwarded head tells.
forwarding_failure decodeForwardingFailure(const http::response_head &response);

} // namespace ivypier::relay
