#include "membership/authenticated_datagram.h"
#include "membership/fact_store.h"
#include "membership/gossip_sender.h"

#include <catch2/catch.hpp>
#include <msgpack.hpp>
#include <rapidcheck/catch.h>

#include <cstdlib>

using namespace ivypier;
using namespace ivypier::membership;

namespace {

/// Uses a fixed seed, so that CI runs are reproducible; RC_PARAMS in the environment overrides it.
[[maybe_unused]] const int fixed_seed = setenv("RC_PARAMS", "seed=20260", 0);

secret_key key(const char *passphrase = "fleet key of the tests")
{
    return secret_key::fromPassphrase(passphrase).value();
}

gossip_message sample()
{
    gossip_message message;
    message.kind = message_kind::listing;
    message.sender = 7;
    message.sequence = 9;
    message.target = 11;
    message.targetAddress = {"10.1.2.3", 8080};
    member details{13, "node-1", {"10.0.0.1", 8080}, {"10.0.0.1", 8081}, "hall-a", "accra"};
    details.features = feature_level::version_selection;
    message.members = {{13, 2, liveness::alive, true, "", details},
                       {17, 3, liveness::suspect, false, "hall-b", std::nullopt}};
    message.facts = {{{"configuration", 4, "digest"}, 5}};
    message.memberHashes = {1, 0xffffffff};
    message.factHashes = {3};
    message.memberBuckets = 5;
    message.factBuckets = ~std::uint64_t{0};
    message.listedMembers = {{19, 1, liveness::dead, true}};
    message.listedFacts = {{23, 2}};
    message.requestedMembers = {29};
    message.requestedFacts = {31};
    return message;
}

} // namespace

TEST_CASE("encoding and decoding preserves every field of a message")
{
    const gossip_codec codec(key());
    const outcome<gossip_message> decoded = codec.decode(codec.encode(sample()));
    REQUIRE(decoded);
    CHECK(decoded.value() == sample());
}

TEST_CASE("a member that an earlier build describes has no features")
{
    constexpr std::string_view context = "ivypier gossip 1:";
    const std::string datagram = gossip_codec(key()).encode(sample());
    const std::string_view body = verifyDatagram(key(), context, datagram).value();
    const msgpack::object_handle unpacked = msgpack::unpack(body.data(), body.size());
    // The details of the first member, without their last field.
    constexpr std::size_t membersField = 6;
    constexpr std::size_t detailsField = 4;
    const msgpack::object &first = unpacked.get().via.array.ptr[membersField].via.array.ptr[0];
    --first.via.array.ptr[detailsField].via.array.ptr[0].via.array.size;
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, unpacked.get());
    const outcome<gossip_message> decoded
        = gossip_codec(key()).decode(authenticateDatagram(key(), context, {buffer.data(), buffer.size()}));
    REQUIRE(decoded);
    gossip_message expected = sample();
    expected.members.front().details->features = feature_level::none;
    CHECK(decoded.value() == expected);
}

TEST_CASE("a datagram of another fleet is rejected as unauthenticated")
{
    const std::string foreign = gossip_codec(key("fleet key of somebody else")).encode(sample());
    const outcome<gossip_message> decoded = gossip_codec(key()).decode(foreign);
    REQUIRE(!decoded);
    CHECK(decoded.error().code == error_code::unauthenticated);
}

TEST_CASE("random and modified datagrams are rejected")
{
    const gossip_codec codec(key());
    rc::prop("foreign bytes", [&](const std::string &bytes) {
        const outcome<gossip_message> decoded = codec.decode(bytes);
        RC_ASSERT(!decoded);
        RC_ASSERT(decoded.error().code == error_code::unauthenticated);
    });
    rc::prop("one changed byte", [&](std::uint16_t place, std::uint8_t change) {
        RC_PRE(change != 0);
        std::string datagram = codec.encode(sample());
        datagram[place % datagram.size()] ^= static_cast<char>(change);
        RC_ASSERT(!codec.decode(datagram));
    });
}

TEST_CASE("an authenticated datagram decodes or fails with invalid_argument")
{
    const gossip_codec codec(key());
    const auto sign
        = [](const std::string &body) { return key().authenticate("ivypier gossip 1:" + body) + body; };
    rc::prop("signed bytes", [&](const std::string &body) {
        const outcome<gossip_message> decoded = codec.decode(sign(body));
        if (!decoded)
            RC_ASSERT(decoded.error().code == error_code::invalid_argument);
    });
    rc::prop("signed, cut or damaged message", [&](std::uint16_t length, std::uint16_t place, char put) {
        std::string body = codec.encode(sample()).substr(32);
        body[place % body.size()] = put;
        body.resize(length % (body.size() + 1));
        const outcome<gossip_message> decoded = codec.decode(sign(body));
        if (!decoded)
            RC_ASSERT(decoded.error().code == error_code::invalid_argument);
    });
}

TEST_CASE("a message filled with updates doesn't exceed the datagram limit")
{
    const gossip_codec codec(key());
    rc::prop("filled messages", [&](std::uint8_t members, std::uint8_t facts, std::uint8_t nameLength) {
        broadcast_queue queue;
        for (std::uint64_t index = 1; index <= members; ++index) {
            member details{~index,
                           std::string(nameLength, 'n'),
                           {"255.255.255.255", 65535},
                           {"255.255.255.254", 65535},
                           std::string(nameLength / 2, 'd'),
                           "region"};
            queue.add(member_update{~index, ~0U, liveness::suspect, true, "hall-a", details});
        }
        for (std::uint64_t index = 1; index <= facts; ++index)
            queue.add(
                fact_update{{"key/" + std::to_string(index), ~index, std::string(nameLength, 'v')}, ~0U});
        gossip_message message;
        message.kind = message_kind::digest;
        message.sender = ~std::uint64_t{0};
        message.sequence = ~0U;
        message.target = ~std::uint64_t{0};
        message.targetAddress = {"255.255.255.255", 65535};
        message.memberBuckets = message.factBuckets = ~std::uint64_t{0};
        message.memberHashes.assign(member_table::bucket_count, ~0U);
        message.factHashes.assign(fact_store::bucket_count, ~0U);
        queue.fill(message, remainingBytes(message), 1600);
        RC_ASSERT(codec.encode(message).size() <= max_datagram_bytes);
    });
}
