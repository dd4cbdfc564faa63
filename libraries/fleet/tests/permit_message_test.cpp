#include "fleet/permit_message.h"
#include "membership/authenticated_datagram.h"
#include "membership/packed_message.h"
#include "test_cluster.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

permit_message decodeOwn(const permit_message &message)
{
    const auto decoded
        = decodePermitMessage(tests::fleetKey(), encodePermitMessage(tests::fleetKey(), message));
    REQUIRE(decoded);
    return decoded.value();
}

} // namespace

TEST_CASE("a permit message is decoded as it was encoded, and only with the fleet's key")
{
    permit_message request{.kind = permit_message_kind::request, .number = 7, .upstream = "u-1"};
    request.callsPerSecond = 1.5;
    request.statedAgo = 40ms;
    request.details = {true, true, 2500ms};
    CHECK(decodeOwn(request) == request);
    permit_message report{.kind = permit_message_kind::report, .number = 8, .upstream = "u-1"};
    report.sent = {3, 0, 1, 0, 0, 0, 0, 2};
    CHECK(decodeOwn(report) == report);
    const permit_message moved{
        .kind = permit_message_kind::moved, .number = 9, .upstream = "u-1", .keeper = "10.0.0.3"};
    CHECK(decodeOwn(moved) == moved);
    const secret_key otherKey = secret_key::fromPassphrase("the passphrase of another fleet").value();
    CHECK_FALSE(decodePermitMessage(otherKey, encodePermitMessage(tests::fleetKey(), request)));
}

TEST_CASE("a permit message whose times are negative is rejected")
{
    permit_message request{.kind = permit_message_kind::request, .number = 7, .upstream = "u-1"};
    request.details.patience = -1ms;
    CHECK_FALSE(decodePermitMessage(tests::fleetKey(), encodePermitMessage(tests::fleetKey(), request)));
}

// Guards against nodes of two builds that drop each other's requests while machines are replaced.
TEST_CASE("a request of a build that states neither its kind of call nor its patience is a new call's")
{
    const auto earlier = std::make_tuple(1, 0, std::uint64_t{7}, std::string("u-1"), 1.5, std::int64_t{40},
                                         false, std::int64_t{0}, std::int64_t{0});
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, earlier);
    const std::string datagram = membership::authenticateDatagram(
        tests::fleetKey(), "ivypier permits 1:", {buffer.data(), buffer.size()});
    const auto decoded = decodePermitMessage(tests::fleetKey(), datagram);
    REQUIRE(decoded);
    CHECK(decoded.value().number == 7);
    CHECK(decoded.value().details == relay::permit_request());
}
