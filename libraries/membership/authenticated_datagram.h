#pragma once

#include "base/outcome.h"
#include "base/secret.h"

#include <string>
#include <string_view>

namespace ivypier::membership {

/// Size of the authenticator in front of the body, in bytes.
inline constexpr std::size_t authenticator_bytes = 32;

/// Returns the authenticator of `context` and `body`, made with the fleet's key, followed by the body. The
/// context names the protocol and its version, so that a datagram of one protocol isn't valid in another.
std::string authenticateDatagram(const secret_key &fleetKey, std::string_view context, std::string_view body);

/// Returns the body of a datagram; fails with `unauthenticated` when the datagram is too short, belongs to
/// another fleet or protocol, or was modified in transit.
outcome<std::string_view> verifyDatagram(const secret_key &fleetKey, std::string_view context,
                                         std::string_view datagram);

} // namespace ivypier::membership
