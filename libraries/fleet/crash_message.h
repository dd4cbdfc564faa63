#pragma once

#include "base/outcome.h"
#include "base/secret.h"
#include "relay/upstream_end.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::fleet {

enum class crash_message_kind : std::uint8_t {
    end, ///< an upstream ended
    answers, ///< calls were answered
    received, ///< confirms that a message was received
    trial_request, ///< asks to send one call that holds the keys of a convicted entry
    trial_grant, ///< allows it
};

/// The last answer to a key.
struct key_answer
{
    relay::crash_key key;
    duration age{}; ///< since it began
    relay::answer_evidence evidence = relay::answer_evidence::whole;

    auto operator<=>(const key_answer &) const = default;
};

/// An answer to a key that its caller left.
struct key_left_answer
{
    relay::crash_key key;
    relay::crash_key call; ///< identity of the call
    duration age{}; ///< since the answer began
    duration lasted{};

    auto operator<=>(const key_left_answer &) const = default;
};

/// A message between the nodes that send calls and those that keep the evidence of a service.
struct crash_message
{
    crash_message_kind kind = crash_message_kind::end;
    std::uint64_t number = 0; ///< unique for each message of a node, repeated in the confirmation
    std::uint64_t keeper = 0; ///< the node that confirms
    std::string service;
    std::string upstream; ///< that ended
    std::string entry; ///< id of the entry that is to be tried
    duration age{}; ///< since the end
    std::vector<relay::crash_suspect> calls; ///< in progress at the upstream
    relay::crash_key_list answeredBefore; ///< keys of these calls that were answered before the end
    std::vector<key_answer> answers;
    std::vector<key_left_answer> leftAnswers;

    auto operator<=>(const crash_message &) const = default;
};

/// Returns the datagram of a message: an authenticator computed with the fleet key, and a msgpack array.
std::string encodeCrashMessage(const secret_key &fleetKey, const crash_message &message);

/// Fails with `unauthenticated` if the datagram was sealed with another key, and with `invalid_argument` if
/// its content is not a valid message.
outcome<crash_message> decodeCrashMessage(const secret_key &fleetKey, std::string_view datagram);

/// Keys that fit into one datagram, in calls and lists together.
inline constexpr std::size_t max_keys_per_message = 96;
inline constexpr std::size_t max_left_answers_per_message = 24;

} // namespace ivypier::fleet
