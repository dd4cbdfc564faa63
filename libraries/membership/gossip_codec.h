#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "membership/gossip_message.h"

#include <string>
#include <string_view>

namespace ivypier::membership {

/// Turns messages into datagrams and back: an authenticator of 32 bytes made with the fleet's key, then the
/// message as a msgpack array.
class gossip_codec
{
public:
    explicit gossip_codec(const secret_key &fleetKey);

    std::string encode(const gossip_message &message) const;

    /// `unauthenticated` for a datagram of another fleet or one that was changed on its way,
    /// `invalid_argument` for one that the fleet's key signed and that is not a message of this version.
    outcome<gossip_message> decode(std::string_view datagram) const;

private:
    secret_key m_fleetKey;
};

/// Bytes that a piece adds to a message, at most.
std::size_t encodedSize(const member_update &update);
std::size_t encodedSize(const fact_update &update);

/// Most bytes of a message without its pieces.
inline constexpr std::size_t message_overhead_bytes = 128;

/// Bytes that one line of a listing or one wanted entry adds, at most.
inline constexpr std::size_t listed_entry_bytes = 20;
inline constexpr std::size_t requested_entry_bytes = 9;

} // namespace ivypier::membership
