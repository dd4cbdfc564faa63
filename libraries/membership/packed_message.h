#pragma once

#include "base/outcome.h"
#include "membership/authenticated_datagram.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <string_view>

namespace ivypier::membership {

/// Decodes a msgpack array whose first entry is the protocol version. Fails with `invalid_argument` for
/// anything else, including an array of more than `maxEntries` entries.
template <typename Message>
outcome<Message> unpackMessage(std::string_view body, std::uint64_t version, std::size_t maxEntries)
{
    constexpr std::size_t maxNestingDepth = 8;
    // msgpack reports malformed input by exceptions; convert them to errors.
    try {
        const msgpack::unpack_limit limit(maxEntries, 0, body.size(), 0, 0, maxNestingDepth);
        const msgpack::object_handle unpacked
            = msgpack::unpack(body.data(), body.size(), nullptr, nullptr, limit);
        const msgpack::object &root = unpacked.get();
        const bool known = root.type == msgpack::type::ARRAY && root.via.array.size > 0
            && root.via.array.ptr[0].as<std::uint64_t>() == version;
        if (!known)
            return error{error_code::invalid_argument, "not a message of this version"};
        Message message;
        root.convert(message);
        return message;
    } catch (const std::exception &failure) {
        return error{error_code::invalid_argument, failure.what()};
    }
}

/// Decodes a datagram that authenticateDatagram() made of a msgpack array, as unpackMessage() does. Fails
/// with `unauthenticated` if it was made with another key or for another context.
template <typename Message>
outcome<Message> unpackDatagram(const secret_key &fleetKey, std::string_view context,
                                std::string_view datagram, std::uint64_t version, std::size_t maxEntries)
{
    const outcome<std::string_view> body = verifyDatagram(fleetKey, context, datagram);
    if (!body)
        return body.error();
    return unpackMessage<Message>(body.value(), version, maxEntries);
}

} // namespace ivypier::membership
