#include "fleet/origin_message.h"

#include "membership/authenticated_datagram.h"
#include "membership/packed_message.h"

namespace ivypier::fleet {

namespace {

constexpr std::uint8_t protocol_version = 1;
constexpr std::string_view authenticated_context = "ivypier origins 1:";
/// Entries of the largest array in a message. A datagram holds fewer records.
constexpr std::size_t max_entries = 64;
/// Largest encoded size of the numbers of an entry and the headers of its texts.
constexpr std::size_t entry_overhead_bytes = 60;
/// Longest time for which a record is kept. A call lasts at most ten minutes.
constexpr std::int64_t max_lifetime_milliseconds = 660'000;

struct wire_entry
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::string service;
    std::string softwareVersion;
    std::string upstream;
    std::int64_t age = 0; ///< times in milliseconds
    std::int64_t lifetime = 0;
    bool isConflicting = false;
    MSGPACK_DEFINE(high, low, service, softwareVersion, upstream, age, lifetime, isConflicting)
};

struct wire_message
{
    std::uint8_t version = protocol_version;
    std::uint8_t kind = 0;
    std::uint64_t number = 0;
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    std::vector<wire_entry> entries;
    MSGPACK_DEFINE(version, kind, number, high, low, entries)
};

bool isValid(const wire_entry &each)
{
    return each.age >= 0 && each.lifetime >= 0 && each.lifetime <= max_lifetime_milliseconds;
}

} // namespace

std::string encodeOriginMessage(const secret_key &fleetKey, const origin_message &message)
{
    wire_message wire;
    wire.kind = static_cast<std::uint8_t>(message.kind);
    wire.number = message.number;
    wire.high = message.stream.high;
    wire.low = message.stream.low;
    for (const origin_entry &each : message.entries)
        wire.entries.push_back({each.stream.high, each.stream.low, each.origin.service,
                                each.origin.softwareVersion, each.origin.upstream, milliseconds(each.age),
                                milliseconds(each.lifetime), each.isConflicting});
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return membership::authenticateDatagram(fleetKey, authenticated_context, {buffer.data(), buffer.size()});
}

outcome<origin_message> decodeOriginMessage(const secret_key &fleetKey, std::string_view datagram)
{
    outcome<wire_message> wire = membership::unpackDatagram<wire_message>(
        fleetKey, authenticated_context, datagram, protocol_version, max_entries);
    if (!wire)
        return wire.error();
    wire_message &read = wire.value();
    if (read.kind > static_cast<std::uint8_t>(origin_message_kind::deviation_stored))
        return error{error_code::invalid_argument, "an origin message is of an unknown kind"};
    origin_message result{
        static_cast<origin_message_kind>(read.kind), read.number, {read.high, read.low}, {}};
    for (wire_entry &each : read.entries) {
        if (!isValid(each))
            return error{error_code::invalid_argument, "a time of an origin message is out of range"};
        result.entries.push_back(
            {{each.high, each.low},
             {std::move(each.service), std::move(each.softwareVersion), std::move(each.upstream)},
             std::chrono::milliseconds(each.age),
             std::chrono::milliseconds(each.lifetime),
             each.isConflicting});
    }
    return result;
}

std::size_t encodedSize(const origin_entry &entry)
{
    return entry_overhead_bytes + entry.origin.service.size() + entry.origin.softwareVersion.size()
        + entry.origin.upstream.size();
}

} // namespace ivypier::fleet
