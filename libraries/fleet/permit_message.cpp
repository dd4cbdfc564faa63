#include "fleet/permit_message.h"

#include "membership/authenticated_datagram.h"
#include "membership/packed_message.h"

#include <cmath>

namespace ivypier::fleet {

namespace {

constexpr std::uint8_t protocol_version = 1;
constexpr std::string_view authenticated_context = "ivypier permits 1:";
constexpr std::size_t max_entries = 16;

struct wire_message
{
    std::uint8_t version = protocol_version;
    std::uint8_t kind = 0;
    std::uint64_t number = 0;
    std::string upstream;
    double callsPerSecond = 0.0;
    std::int64_t statedAgo = 0; ///< times in milliseconds
    bool isGranted = false;
    std::int64_t nextPermit = 0;
    std::int64_t returnAfter = 0;
    MSGPACK_DEFINE(version, kind, number, upstream, callsPerSecond, statedAgo, isGranted, nextPermit,
                   returnAfter)
};

} // namespace

std::string encodePermitMessage(const secret_key &fleetKey, const permit_message &message)
{
    const wire_message wire{protocol_version,
                            static_cast<std::uint8_t>(message.kind),
                            message.number,
                            message.upstream,
                            message.callsPerSecond,
                            milliseconds(message.statedAgo),
                            message.isGranted,
                            milliseconds(message.nextPermit),
                            milliseconds(message.returnAfter)};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return membership::authenticateDatagram(fleetKey, authenticated_context, {buffer.data(), buffer.size()});
}

outcome<permit_message> decodePermitMessage(const secret_key &fleetKey, std::string_view datagram)
{
    outcome<wire_message> wire = membership::unpackDatagram<wire_message>(
        fleetKey, authenticated_context, datagram, protocol_version, max_entries);
    if (!wire)
        return wire.error();
    wire_message &read = wire.value();
    const bool isValid = read.kind <= static_cast<std::uint8_t>(permit_message_kind::answer)
        && std::isfinite(read.callsPerSecond) && read.callsPerSecond >= 0.0 && read.statedAgo >= 0
        && read.nextPermit >= 0 && read.returnAfter >= 0;
    if (!isValid)
        return error{error_code::invalid_argument, "a field of a permit message is out of range"};
    return permit_message{static_cast<permit_message_kind>(read.kind),
                          read.number,
                          std::move(read.upstream),
                          read.callsPerSecond,
                          std::chrono::milliseconds(read.statedAgo),
                          read.isGranted,
                          std::chrono::milliseconds(read.nextPermit),
                          std::chrono::milliseconds(read.returnAfter)};
}

} // namespace ivypier::fleet
