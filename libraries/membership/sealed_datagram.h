#pragma once

#include "base/outcome.h"
#include "base/secret.h"

#include <string>
#include <string_view>

namespace ivypier::membership {

/// Bytes that a seal adds to a body.
inline constexpr std::size_t authenticator_bytes = 32;

/// A datagram that only nodes of one fleet can make: the authenticator of `context` and the body, then the
/// body. The context names the protocol and its version, so that datagrams of one are none of another.
std::string authenticateDatagram(const secret_key &fleetKey, std::string_view context, std::string_view body);

/// The body of a datagram; `unauthenticated` for one of another fleet or protocol, or one that was changed on
/// its way.
outcome<std::string_view> verifyDatagram(const secret_key &fleetKey, std::string_view context,
                                         std::string_view datagram);

} // namespace ivypier::membership
