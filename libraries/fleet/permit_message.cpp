#include "fleet/permit_message.h"

#include "membership/authenticated_datagram.h"
#include "membership/packed_message.h"

#include <algorithm>
#include <cmath>
#include <vector>

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
    bool isContinuation = false; ///< this and what follows is absent from messages of earlier builds
    bool mayQueue = false;
    std::int64_t patience = 0;
    std::vector<std::uint32_t> sent;
    std::string keeper;
    MSGPACK_DEFINE(version, kind, number, upstream, callsPerSecond, statedAgo, isGranted, nextPermit,
                   returnAfter, isContinuation, mayQueue, patience, sent, keeper)
};

std::vector<std::uint32_t> countsOf(const permit_message &message)
{
    if (message.kind != permit_message_kind::report)
        return {};
    return {message.sent.begin(), message.sent.end()};
}

bool isValid(const wire_message &read)
{
    const bool isReport = read.kind == static_cast<std::uint8_t>(permit_message_kind::report);
    return read.kind <= static_cast<std::uint8_t>(permit_message_kind::moved)
        && std::isfinite(read.callsPerSecond) && read.callsPerSecond >= 0.0 && read.statedAgo >= 0
        && read.nextPermit >= 0 && read.returnAfter >= 0 && read.patience >= 0
        && read.sent.size() == (isReport ? sent_intervals : 0);
}

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
                            milliseconds(message.returnAfter),
                            message.details.isContinuation,
                            message.details.mayQueue,
                            milliseconds(message.details.patience),
                            countsOf(message),
                            message.keeper};
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
    if (!isValid(read))
        return error{error_code::invalid_argument, "a field of a permit message is out of range"};
    permit_message result{.kind = static_cast<permit_message_kind>(read.kind),
                          .number = read.number,
                          .upstream = std::move(read.upstream),
                          .callsPerSecond = read.callsPerSecond,
                          .statedAgo = std::chrono::milliseconds(read.statedAgo),
                          .isGranted = read.isGranted,
                          .nextPermit = std::chrono::milliseconds(read.nextPermit),
                          .returnAfter = std::chrono::milliseconds(read.returnAfter),
                          .details
                          = {read.isContinuation, read.mayQueue, std::chrono::milliseconds(read.patience)},
                          .keeper = std::move(read.keeper)};
    std::copy(read.sent.begin(), read.sent.end(), result.sent.begin());
    return result;
}

} // namespace ivypier::fleet
