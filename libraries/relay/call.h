#pragma once

#include "base/clock.h"
#include "http/field_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// A segment of a prompt, identified by its id and length. Prompts that begin with the same parts can share
/// cached prefill work.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;

    auto operator<=>(const prompt_part &) const = default;
};

/// The size of a call to a model service.
struct prompt_size
{
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0; ///< upper bound on the length of the answer
    std::vector<prompt_part> parts;

    auto operator<=>(const prompt_size &) const = default;
};

/// A call received from a caller. The method, path, query and body are forwarded unchanged.
struct call
{
    std::string id; ///< assigned by the caller; a retry by the caller is a new call with its own id
    std::string method;
    std::string target; ///< path and query string
    std::string host;
    std::string key; ///< API key; empty if the caller sent none
    http::field_list fields; ///< header fields that are forwarded
    std::string body;
    std::optional<duration> callerTimeout; ///< how long the caller waits, counted from `receivedAt`
    std::optional<std::uint64_t> lastEvent; ///< the stream resumes after this event
    std::string resumedCall; ///< id of the call that returned the stream's first event; empty if not named
    std::optional<prompt_size> size;
    time_point receivedAt{};

    bool operator==(const call &) const = default;
};

/// One attempt to have an upstream process a call.
struct attempt
{
    std::string instance; ///< name of the upstream; any other upstream must reject the call
    std::string account;
    duration timeLeft{};
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> lastEvent;
    bool isResumption = false; ///< the call continues a stream that only some upstreams can continue

    auto operator<=>(const attempt &) const = default;
};

} // namespace ivypier::relay
