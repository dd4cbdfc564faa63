#include "fleet/crash_message.h"

#include "membership/authenticated_datagram.h"
#include "membership/packed_message.h"

#include <algorithm>

namespace ivypier::fleet {

namespace {

constexpr std::uint8_t protocol_version = 1;
constexpr std::string_view authenticated_context = "ivypier crashes 1:";
constexpr std::size_t max_entries = 128;
/// Evidence is not kept longer.
constexpr std::int64_t max_age_milliseconds = 600'000;

using wire_keys = std::vector<std::uint64_t>;

struct wire_call
{
    std::uint64_t call = 0;
    wire_keys keys;
    std::int64_t progress = 0; ///< times in milliseconds
    MSGPACK_DEFINE(call, keys, progress)
};

struct wire_answer
{
    std::uint64_t key = 0;
    std::int64_t age = 0;
    bool isWhole = false;
    MSGPACK_DEFINE(key, age, isWhole)
};

struct wire_left_answer
{
    std::uint64_t key = 0;
    std::uint64_t call = 0;
    std::int64_t age = 0;
    std::int64_t lasted = 0;
    MSGPACK_DEFINE(key, call, age, lasted)
};

struct wire_message
{
    std::uint8_t version = protocol_version;
    std::uint8_t kind = 0;
    std::uint64_t number = 0;
    std::uint64_t keeper = 0;
    std::string service;
    std::string upstream;
    std::string entry;
    std::int64_t age = 0;
    std::vector<wire_call> calls;
    wire_keys answeredBefore;
    std::vector<wire_answer> answers;
    /// Nodes of earlier versions do not send it, and ignore it.
    std::vector<wire_left_answer> leftAnswers;
    MSGPACK_DEFINE(version, kind, number, keeper, service, upstream, entry, age, calls, answeredBefore,
                   answers, leftAnswers)
};

wire_keys toWire(const relay::crash_key_list &keys)
{
    wire_keys result;
    for (const relay::crash_key each : keys)
        result.push_back(each.value);
    return result;
}

relay::crash_key_list fromWire(const wire_keys &keys)
{
    relay::crash_key_list result;
    for (const std::uint64_t each : keys)
        result.push_back({each});
    std::sort(result.begin(), result.end());
    return result;
}

bool isValidAge(std::int64_t age)
{
    return age >= 0 && age <= max_age_milliseconds;
}

} // namespace

std::string encodeCrashMessage(const secret_key &fleetKey, const crash_message &message)
{
    wire_message wire;
    wire.kind = static_cast<std::uint8_t>(message.kind);
    wire.number = message.number;
    wire.keeper = message.keeper;
    wire.service = message.service;
    wire.upstream = message.upstream;
    wire.entry = message.entry;
    wire.age = milliseconds(message.age);
    for (const relay::crash_suspect &each : message.calls)
        wire.calls.push_back({each.call.value, toWire(each.keys), milliseconds(each.progress)});
    wire.answeredBefore = toWire(message.answeredBefore);
    for (const key_answer &each : message.answers)
        wire.answers.push_back(
            {each.key.value, milliseconds(each.age), each.evidence == relay::answer_evidence::whole});
    for (const key_left_answer &each : message.leftAnswers)
        wire.leftAnswers.push_back(
            {each.key.value, each.call.value, milliseconds(each.age), milliseconds(each.lasted)});
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return membership::authenticateDatagram(fleetKey, authenticated_context, {buffer.data(), buffer.size()});
}

outcome<crash_message> decodeCrashMessage(const secret_key &fleetKey, std::string_view datagram)
{
    outcome<wire_message> wire = membership::unpackDatagram<wire_message>(
        fleetKey, authenticated_context, datagram, protocol_version, max_entries);
    if (!wire)
        return wire.error();
    wire_message &read = wire.value();
    if (read.kind > static_cast<std::uint8_t>(crash_message_kind::trial_grant) || !isValidAge(read.age))
        return error{error_code::invalid_argument, "a field of a crash message is out of range"};
    crash_message result;
    result.kind = static_cast<crash_message_kind>(read.kind);
    result.number = read.number;
    result.keeper = read.keeper;
    result.service = std::move(read.service);
    result.upstream = std::move(read.upstream);
    result.entry = std::move(read.entry);
    result.age = std::chrono::milliseconds(read.age);
    for (const wire_call &each : read.calls)
        result.calls.push_back({{each.call}, fromWire(each.keys), std::chrono::milliseconds(each.progress)});
    result.answeredBefore = fromWire(read.answeredBefore);
    for (const wire_answer &each : read.answers) {
        if (!isValidAge(each.age))
            return error{error_code::invalid_argument, "a field of a crash message is out of range"};
        result.answers.push_back(
            {{each.key},
             std::chrono::milliseconds(each.age),
             each.isWhole ? relay::answer_evidence::whole : relay::answer_evidence::survived});
    }
    for (const wire_left_answer &each : read.leftAnswers) {
        if (!isValidAge(each.age) || !isValidAge(each.lasted))
            return error{error_code::invalid_argument, "a field of a crash message is out of range"};
        result.leftAnswers.push_back({{each.key},
                                      {each.call},
                                      std::chrono::milliseconds(each.age),
                                      std::chrono::milliseconds(each.lasted)});
    }
    return result;
}

} // namespace ivypier::fleet
