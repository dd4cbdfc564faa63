#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "membership/gossip_message.h"

#include <string>
#include <string_view>

namespace ivypier::membership {

/// Encodes messages as datagrams and decodes them: an authenticator of 32 bytes made with the fleet's key,
/// then the message as a msgpack array.
class gossip_codec
{
public:
    explicit gossip_codec(const secret_key &fleetKey);

    std::string encode(const gossip_message &message) const;

    /// Returns the message in a datagram. Fails with `unauthenticated` when the datagram belongs to another
    /// fleet or was modified in transit, and with `invalid_argument` when it is authentic but not a message
    /// of this version.
    outcome<gossip_message> decode(std::string_view datagram) const;

private:
    secret_key m_fleetKey;
};

/// Return an upper bound of the bytes that an update adds to a message.
std::size_t encodedSize(const member_update &update);
std::size_t encodedSize(const fact_update &update);

/// Upper bound of a message's size without updates, hashes, listings and requested entries, in bytes.
inline constexpr std::size_t message_overhead_bytes = 128;

/// Upper bounds of the bytes that one entry of a listing and one requested entry add.
inline constexpr std::size_t listed_entry_bytes = 20;
inline constexpr std::size_t requested_entry_bytes = 9;

} // namespace ivypier::membership
