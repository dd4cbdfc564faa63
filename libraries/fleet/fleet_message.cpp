#include "fleet/fleet_message.h"

#include "membership/authenticated_datagram.h"
#include "membership/datagram_channel.h"
#include "membership/packed_message.h"

namespace ivypier::fleet {

namespace {

constexpr std::uint8_t protocol_version = 1;
constexpr std::string_view authenticated_context = "ivypier fleet 1:";
/// Upper bound on the bytes of a datagram without its samples.
constexpr std::size_t datagram_overhead = membership::authenticator_bytes + 32;
/// Upper bound on the encoded bytes of a sample without its name: array header, kind, two integers and the
/// length of the name.
constexpr std::size_t sample_overhead = 24;
constexpr std::size_t max_entries = 1024;

struct wire_sample
{
    std::uint8_t kind = 0;
    std::string name;
    std::int64_t window = 0;
    std::uint64_t value = 0;
    MSGPACK_DEFINE(kind, name, window, value);
};

struct wire_message
{
    std::uint8_t version = protocol_version;
    std::uint8_t kind = 0;
    std::uint64_t sender = 0;
    std::uint64_t round = 0;
    bool isLast = true;
    std::vector<wire_sample> metricSamples;
    bool needsLoads = true; ///< missing in messages of older versions
    MSGPACK_DEFINE(version, kind, sender, round, isLast, metricSamples, needsLoads);
};

std::string pack(const secret_key &key, const wire_message &part)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, part);
    return membership::authenticateDatagram(key, authenticated_context, {buffer.data(), buffer.size()});
}

outcome<fleet_message> fromWire(wire_message &&wire)
{
    if (wire.kind > static_cast<std::uint8_t>(fleet_message_kind::domain_sums) || wire.sender == 0)
        return error{error_code::invalid_argument, "unknown message kind or missing sender"};
    fleet_message result{static_cast<fleet_message_kind>(wire.kind),
                         wire.sender,
                         wire.round,
                         wire.isLast,
                         wire.needsLoads,
                         {}};
    for (wire_sample &each : wire.metricSamples) {
        // A node of a newer version may send kinds that are unknown here.
        if (each.kind > static_cast<std::uint8_t>(last_metric_kind))
            continue;
        result.metricSamples.push_back(
            {static_cast<metric_kind>(each.kind), std::move(each.name), each.window, each.value});
    }
    return result;
}

} // namespace

fleet_message_codec::fleet_message_codec(const secret_key &fleetKey)
    : m_fleetKey(fleetKey)
{
}

std::vector<std::string> fleet_message_codec::encode(const fleet_message &message) const
{
    std::vector<std::string> datagrams;
    wire_message part{
        protocol_version,  static_cast<std::uint8_t>(message.kind), message.sender, message.round, false, {},
        message.needsLoads};
    std::size_t size = datagram_overhead;
    for (const metric_sample &each : message.metricSamples) {
        const std::size_t added = sample_overhead + each.name.size();
        if (datagram_overhead + added > membership::max_datagram_bytes)
            continue; // the name does not fit into a datagram
        if (size + added > membership::max_datagram_bytes) {
            datagrams.push_back(pack(m_fleetKey, part));
            part.metricSamples.clear();
            size = datagram_overhead;
        }
        part.metricSamples.push_back(
            {static_cast<std::uint8_t>(each.kind), each.name, each.window, each.value});
        size += added;
    }
    part.isLast = true;
    datagrams.push_back(pack(m_fleetKey, part));
    return datagrams;
}

outcome<fleet_message> fleet_message_codec::decode(std::string_view datagram) const
{
    outcome<wire_message> wire = membership::unpackDatagram<wire_message>(
        m_fleetKey, authenticated_context, datagram, protocol_version, max_entries);
    if (!wire)
        return wire.error();
    return fromWire(std::move(wire.value()));
}

} // namespace ivypier::fleet
