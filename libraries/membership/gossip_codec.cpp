#include "membership/gossip_codec.h"

#include "membership/authenticated_datagram.h"
#include "membership/packed_message.h"

#include <boost/asio/ip/address_v4.hpp>

namespace ivypier::membership {

namespace {

constexpr std::uint8_t protocol_version = 1;
constexpr std::string_view authenticated_context = "ivypier gossip 1:";
constexpr std::size_t max_entries = 256;
constexpr std::size_t member_overhead_bytes = 15; ///< without generation and strings
constexpr std::size_t details_overhead_bytes = 33;
constexpr std::size_t fact_overhead_bytes = 7; ///< without version, age and strings
constexpr std::uint8_t liveness_mask = 3;
constexpr std::uint8_t leaving_bit = 4;

struct wire_address
{
    std::uint32_t host = 0;
    std::uint16_t port = 0;
    MSGPACK_DEFINE(host, port);
};

struct wire_details
{
    std::string name;
    wire_address address;
    wire_address gossipAddress; ///< port 0: the same as `address`
    std::string failureDomain;
    std::string region;
    std::uint8_t features = 0; ///< missing in the messages of earlier builds, which ignore it
    MSGPACK_DEFINE(name, address, gossipAddress, failureDomain, region, features);
};

struct wire_member
{
    std::uint64_t id = 0;
    std::uint32_t generation = 0;
    std::uint8_t state = 0;
    std::string reporterDomain;
    std::vector<wire_details> details; ///< zero or one entry
    MSGPACK_DEFINE(id, generation, state, reporterDomain, details);
};

struct wire_fact
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    std::uint32_t ageSeconds = 0;
    MSGPACK_DEFINE(key, version, value, ageSeconds);
};

struct wire_listed_member
{
    std::uint64_t id = 0;
    std::uint32_t generation = 0;
    std::uint8_t state = 0;
    MSGPACK_DEFINE(id, generation, state);
};

struct wire_listed_fact
{
    std::uint64_t keyHash = 0;
    std::uint64_t version = 0;
    MSGPACK_DEFINE(keyHash, version);
};

struct wire_message
{
    std::uint8_t version = protocol_version;
    std::uint8_t kind = 0;
    std::uint64_t sender = 0;
    std::uint32_t sequence = 0;
    std::uint64_t target = 0;
    wire_address targetAddress;
    std::vector<wire_member> members;
    std::vector<wire_fact> facts;
    std::string memberHashes; ///< four bytes per hash, in network byte order
    std::string factHashes;
    std::uint64_t memberBuckets = 0;
    std::uint64_t factBuckets = 0;
    std::vector<wire_listed_member> listedMembers;
    std::vector<wire_listed_fact> listedFacts;
    std::vector<std::uint64_t> requestedMembers;
    std::vector<std::uint64_t> requestedFacts;
    MSGPACK_DEFINE(version, kind, sender, sequence, target, targetAddress, members, facts, memberHashes,
                   factHashes, memberBuckets, factBuckets, listedMembers, listedFacts, requestedMembers,
                   requestedFacts);
};

wire_address toWire(const endpoint &address)
{
    boost::system::error_code failure;
    const auto host = boost::asio::ip::make_address_v4(address.host, failure);
    return failure ? wire_address{} : wire_address{host.to_uint(), address.port};
}

endpoint fromWire(const wire_address &address)
{
    if (address.port == 0)
        return {};
    return {boost::asio::ip::make_address_v4(address.host).to_string(), address.port};
}

std::uint8_t encodeState(liveness state, bool leaving)
{
    return static_cast<std::uint8_t>(static_cast<std::uint8_t>(state) | (leaving ? leaving_bit : 0));
}

liveness decodeLiveness(std::uint8_t bits)
{
    const std::uint8_t value = bits & liveness_mask;
    return value >= 2 ? liveness::dead : static_cast<liveness>(value);
}

wire_member toWire(const member_update &update)
{
    wire_member wire{update.id,
                     update.generation,
                     encodeState(update.liveness, update.leaving),
                     update.reporterDomain,
                     {}};
    if (!update.details)
        return wire;
    const member &own = *update.details;
    const bool sameAddress = own.gossipAddress == own.address;
    wire.details.push_back({own.name, toWire(own.address),
                            sameAddress ? wire_address{} : toWire(own.gossipAddress), own.failureDomain,
                            own.region, static_cast<std::uint8_t>(own.features)});
    return wire;
}

member_update fromWire(wire_member &&wire)
{
    member_update update{wire.id,
                         wire.generation,
                         decodeLiveness(wire.state),
                         (wire.state & leaving_bit) != 0,
                         std::move(wire.reporterDomain),
                         std::nullopt};
    if (wire.details.empty())
        return update;
    wire_details &details = wire.details.front();
    member entry;
    entry.id = wire.id;
    entry.name = std::move(details.name);
    entry.address = fromWire(details.address);
    entry.gossipAddress = details.gossipAddress.port == 0 ? entry.address : fromWire(details.gossipAddress);
    entry.failureDomain = std::move(details.failureDomain);
    entry.region = std::move(details.region);
    entry.features = details.features >= static_cast<std::uint8_t>(feature_level::version_selection)
        ? feature_level::version_selection
        : feature_level::none;
    update.details = std::move(entry);
    return update;
}

std::string packHashes(const std::vector<std::uint32_t> &hashes)
{
    std::string bytes;
    bytes.reserve(hashes.size() * 4);
    for (const std::uint32_t each : hashes) {
        for (const int shift : {24, 16, 8, 0})
            bytes += static_cast<char>(static_cast<unsigned char>(each >> shift));
    }
    return bytes;
}

std::vector<std::uint32_t> unpackHashes(const std::string &bytes)
{
    std::vector<std::uint32_t> hashes;
    for (std::size_t index = 0; index + 3 < bytes.size(); index += 4) {
        std::uint32_t value = 0;
        for (std::size_t offset = 0; offset < 4; ++offset)
            value = value << 8 | static_cast<unsigned char>(bytes[index + offset]);
        hashes.push_back(value);
    }
    return hashes;
}

wire_message toWire(const gossip_message &message)
{
    wire_message wire;
    wire.kind = static_cast<std::uint8_t>(message.kind);
    wire.sender = message.sender;
    wire.sequence = message.sequence;
    wire.target = message.target;
    wire.targetAddress = toWire(message.targetAddress);
    for (const member_update &each : message.members)
        wire.members.push_back(toWire(each));
    for (const fact_update &each : message.facts)
        wire.facts.push_back({each.content.key, each.content.version, each.content.value, each.ageSeconds});
    wire.memberHashes = packHashes(message.memberHashes);
    wire.factHashes = packHashes(message.factHashes);
    wire.memberBuckets = message.memberBuckets;
    wire.factBuckets = message.factBuckets;
    for (const listed_member &each : message.listedMembers)
        wire.listedMembers.push_back({each.id, each.generation, encodeState(each.liveness, each.leaving)});
    for (const listed_fact &each : message.listedFacts)
        wire.listedFacts.push_back({each.keyHash, each.version});
    wire.requestedMembers = message.requestedMembers;
    wire.requestedFacts = message.requestedFacts;
    return wire;
}

gossip_message fromWire(wire_message &&wire)
{
    gossip_message message;
    message.kind = static_cast<message_kind>(wire.kind);
    message.sender = wire.sender;
    message.sequence = wire.sequence;
    message.target = wire.target;
    message.targetAddress = fromWire(wire.targetAddress);
    for (wire_member &each : wire.members)
        message.members.push_back(fromWire(std::move(each)));
    for (wire_fact &each : wire.facts)
        message.facts.push_back(
            {{std::move(each.key), each.version, std::move(each.value)}, each.ageSeconds});
    message.memberHashes = unpackHashes(wire.memberHashes);
    message.factHashes = unpackHashes(wire.factHashes);
    message.memberBuckets = wire.memberBuckets;
    message.factBuckets = wire.factBuckets;
    for (const wire_listed_member &each : wire.listedMembers)
        message.listedMembers.push_back(
            {each.id, each.generation, decodeLiveness(each.state), (each.state & leaving_bit) != 0});
    for (const wire_listed_fact &each : wire.listedFacts)
        message.listedFacts.push_back({each.keyHash, each.version});
    message.requestedMembers = std::move(wire.requestedMembers);
    message.requestedFacts = std::move(wire.requestedFacts);
    return message;
}

/// Returns the encoded size of an unsigned integer in msgpack, in bytes.
std::size_t packedSize(std::uint64_t value)
{
    if (value < 0x80)
        return 1;
    if (value <= 0xff)
        return 2;
    if (value <= 0xffff)
        return 3;
    return value <= 0xffffffff ? 5 : 9;
}

} // namespace

gossip_codec::gossip_codec(const secret_key &fleetKey)
    : m_fleetKey(fleetKey)
{
}

std::string gossip_codec::encode(const gossip_message &message) const
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, toWire(message));
    return authenticateDatagram(m_fleetKey, authenticated_context, {buffer.data(), buffer.size()});
}

outcome<gossip_message> gossip_codec::decode(std::string_view datagram) const
{
    const outcome<std::string_view> body = verifyDatagram(m_fleetKey, authenticated_context, datagram);
    if (!body)
        return body.error();
    outcome<wire_message> wire = unpackMessage<wire_message>(body.value(), protocol_version, max_entries);
    if (!wire)
        return wire.error();
    if (wire.value().kind > static_cast<std::uint8_t>(message_kind::pull) || wire.value().sender == 0)
        return error{error_code::invalid_argument, "no such message"};
    return fromWire(std::move(wire.value()));
}

std::size_t encodedSize(const member_update &update)
{
    std::size_t size = member_overhead_bytes + packedSize(update.generation) + update.reporterDomain.size();
    if (update.details) {
        size += details_overhead_bytes + update.details->name.size() + update.details->failureDomain.size()
            + update.details->region.size();
    }
    return size;
}

std::size_t encodedSize(const fact_update &update)
{
    return fact_overhead_bytes + packedSize(update.content.version) + packedSize(update.ageSeconds)
        + update.content.key.size() + update.content.value.size();
}

} // namespace ivypier::membership
