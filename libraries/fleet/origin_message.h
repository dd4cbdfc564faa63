#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "relay/stream_key.h"
#include "relay/stream_origin.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::fleet {

enum class origin_message_kind : std::uint8_t {
    record, ///< records of where streams began, for their keepers
    question, ///< asks for the record of a stream
    reply, ///< the record that was asked for; without an entry if there is none
    stored, ///< records for the recorder of a shard, which writes them to the platform's table
    deviation, ///< a deviation for the recorder of a shard, which confirms it once it is written
    deviation_stored, ///< confirms a deviation
};

/// A record of where a stream began.
struct origin_entry
{
    relay::stream_key stream;
    relay::stream_origin origin;
    duration age{}; ///< since the record was made
    duration lifetime{}; ///< for which it is still kept
    bool isConflicting = false; ///< there were records that disagree

    auto operator<=>(const origin_entry &) const = default;
};

/// A message between the nodes that record, keep and look up where streams began.
struct origin_message
{
    origin_message_kind kind = origin_message_kind::record;
    std::uint64_t number = 0; ///< of the question, repeated in the reply; of the shard of what is stored
    relay::stream_key stream; ///< of a question or a deviation
    std::vector<origin_entry> entries;

    auto operator<=>(const origin_message &) const = default;
};

/// Returns the datagram of a message: an authenticator computed with the fleet key, and a msgpack array.
std::string encodeOriginMessage(const secret_key &fleetKey, const origin_message &message);

/// Fails with `unauthenticated` if the datagram was sealed with another key, and with `invalid_argument` if
/// its content is not a valid message.
outcome<origin_message> decodeOriginMessage(const secret_key &fleetKey, std::string_view datagram);

/// Returns an upper bound of the bytes that an entry takes in a datagram.
std::size_t encodedSize(const origin_entry &entry);

} // namespace ivypier::fleet
