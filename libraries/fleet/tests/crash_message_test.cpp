#include "fleet/crash_message.h"
#include "membership/datagram_channel.h"
#include "test_cluster.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

crash_message sampleMessage()
{
    crash_message message{.kind = crash_message_kind::end, .number = 7, .service = "s", .upstream = "u-1"};
    message.age = 150ms;
    message.calls = {{{8}, {{1}, {2}}, 40ms}, {{9}, {{3}}, {}}};
    message.answeredBefore = {{2}};
    message.answers = {{{3}, 20ms, relay::answer_evidence::survived}};
    message.leftAnswers = {{{4}, {9}, 900ms, 700ms}};
    return message;
}

} // namespace

TEST_CASE("a crash message is decoded as it was encoded, and only with the fleet's key")
{
    const std::string datagram = encodeCrashMessage(fleet::tests::fleetKey(), sampleMessage());
    const auto decoded = decodeCrashMessage(fleet::tests::fleetKey(), datagram);
    REQUIRE(decoded);
    CHECK(decoded.value() == sampleMessage());
    const secret_key otherKey = secret_key::fromPassphrase("the passphrase of another fleet").value();
    CHECK(decodeCrashMessage(otherKey, datagram).error().code == error_code::unauthenticated);
    CHECK_FALSE(decodeCrashMessage(fleet::tests::fleetKey(), "x"));
}

TEST_CASE("a crash message with a negative age is rejected")
{
    crash_message message = sampleMessage();
    message.age = -1ms;
    CHECK_FALSE(
        decodeCrashMessage(fleet::tests::fleetKey(), encodeCrashMessage(fleet::tests::fleetKey(), message)));
}

TEST_CASE("a crash message with as many keys as may be sent fits into a datagram")
{
    crash_message message{
        .kind = crash_message_kind::end, .service = std::string(60, 's'), .upstream = std::string(40, 'u')};
    for (std::uint64_t key = 0; key < max_keys_per_message / 3; ++key) {
        message.calls.push_back({{UINT64_MAX}, {{UINT64_MAX - key}}, 5s});
        message.answeredBefore.push_back({UINT64_MAX - key});
    }
    CHECK(encodeCrashMessage(fleet::tests::fleetKey(), message).size() <= membership::max_datagram_bytes);
    message.calls.clear();
    message.answeredBefore.clear();
    for (std::uint64_t key = 0; key < max_keys_per_message / 2; ++key)
        message.answers.push_back({{UINT64_MAX - key}, 10min, relay::answer_evidence::whole});
    CHECK(encodeCrashMessage(fleet::tests::fleetKey(), message).size() <= membership::max_datagram_bytes);
    message.answers.clear();
    for (std::uint64_t key = 0; key < max_left_answers_per_message; ++key)
        message.leftAnswers.push_back({{UINT64_MAX - key}, {UINT64_MAX}, 10min, 10min});
    CHECK(encodeCrashMessage(fleet::tests::fleetKey(), message).size() <= membership::max_datagram_bytes);
}
