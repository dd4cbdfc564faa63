#include "fleet/telling.h"

#include "membership/datagram_channel.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace ivypier::fleet {

namespace {

constexpr std::uint8_t protocol_version = 1;
constexpr std::size_t authenticator_bytes = 32;
constexpr std::string_view authenticated_context = "ivypier fleet 1:";
/// Bytes of a datagram beside its numbers, at most.
constexpr std::size_t datagram_overhead = authenticator_bytes + 32;
/// Bytes of a number beside its name, at most: array, kind, two integers and the length of the name.
constexpr std::size_t number_overhead = 24;
constexpr std::size_t most_entries = 1024;
constexpr std::size_t deepest_nesting = 4;

struct wire_number
{
    std::uint8_t kind = 0;
    std::string name;
    std::int64_t window = 0;
    std::uint64_t value = 0;
    MSGPACK_DEFINE(kind, name, window, value);
};

struct wire_telling
{
    std::uint8_t version = protocol_version;
    std::uint8_t kind = 0;
    std::uint64_t sender = 0;
    std::uint64_t round = 0;
    bool isLast = true;
    std::vector<wire_number> numbers;
    MSGPACK_DEFINE(version, kind, sender, round, isLast, numbers);
};

std::string authenticated(std::string_view body)
{
    return std::string(authenticated_context).append(body);
}

std::string pack(const secret_key &key, const wire_telling &part)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, part);
    const std::string_view body(buffer.data(), buffer.size());
    return key.authenticate(authenticated(body)).append(body);
}

outcome<telling> fromWire(wire_telling &&wire)
{
    if (wire.kind > static_cast<std::uint8_t>(telling_kind::totals) || wire.sender == 0)
        return error{error_code::invalid_argument, "no such telling"};
    telling result{static_cast<telling_kind>(wire.kind), wire.sender, wire.round, wire.isLast, {}};
    for (wire_number &each : wire.numbers) {
        // A kind that a newer version tells.
        if (each.kind > static_cast<std::uint8_t>(last_number_kind))
            continue;
        result.numbers.push_back(
            {static_cast<number_kind>(each.kind), std::move(each.name), each.window, each.value});
    }
    return result;
}

} // namespace

telling_codec::telling_codec(const secret_key &fleetKey)
    : m_fleetKey(fleetKey)
{
}

std::vector<std::string> telling_codec::encode(const telling &content) const
{
    std::vector<std::string> datagrams;
    wire_telling part{
        protocol_version, static_cast<std::uint8_t>(content.kind), content.sender, content.round, false, {}};
    std::size_t size = datagram_overhead;
    for (const told_number &each : content.numbers) {
        const std::size_t added = number_overhead + each.name.size();
        if (datagram_overhead + added > membership::datagram_limit)
            continue; // a name that fits into no datagram
        if (size + added > membership::datagram_limit) {
            datagrams.push_back(pack(m_fleetKey, part));
            part.numbers.clear();
            size = datagram_overhead;
        }
        part.numbers.push_back({static_cast<std::uint8_t>(each.kind), each.name, each.window, each.value});
        size += added;
    }
    part.isLast = true;
    datagrams.push_back(pack(m_fleetKey, part));
    return datagrams;
}

outcome<telling> telling_codec::decode(std::string_view datagram) const
{
    if (datagram.size() < authenticator_bytes)
        return error{error_code::unauthenticated, "too short"};
    const std::string_view body = datagram.substr(authenticator_bytes);
    if (!m_fleetKey.verify(authenticated(body), datagram.substr(0, authenticator_bytes)))
        return error{error_code::unauthenticated, "not of this fleet"};
    // msgpack reports malformed input by exceptions; here they become values.
    try {
        const msgpack::unpack_limit limit(most_entries, 0, datagram.size(), 0, 0, deepest_nesting);
        const msgpack::object_handle unpacked
            = msgpack::unpack(body.data(), body.size(), nullptr, nullptr, limit);
        const msgpack::object &root = unpacked.get();
        const bool known = root.type == msgpack::type::ARRAY && root.via.array.size > 0
            && root.via.array.ptr[0].as<std::uint64_t>() == protocol_version;
        if (!known)
            return error{error_code::invalid_argument, "not a telling of this version"};
        wire_telling wire;
        root.convert(wire);
        return fromWire(std::move(wire));
    } catch (const std::exception &failure) {
        return error{error_code::invalid_argument, failure.what()};
    }
}

} // namespace ivypier::fleet
