#pragma once

#include "base/clock.h"
#include "http/field_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// A part of a prompt: its id and its length. Prompts that begin with the same parts share cached work.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;

    auto operator<=>(const prompt_part &) const = default;
};

/// What a call to a model service says about its size.
struct prompt_size
{
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0; ///< most that the answer may have
    std::vector<prompt_part> parts;

    auto operator<=>(const prompt_size &) const = default;
};

/// One call of a caller, to be passed on with its method, path, query and body unchanged.
struct call
{
    std::string id; ///< the caller's own; another attempt of the caller is another call
    std::string method;
    std::string target; ///< path and query
    std::string host;
    std::string key; ///< empty: none
    http::field_list fields; ///< those that are passed on
    std::string body;
    std::optional<duration> callerTimeout; ///< how long the caller waits, from `receivedAt`
    std::optional<std::uint64_t> lastEvent; ///< a stream goes on after this event
    std::optional<prompt_size> size;
    time_point receivedAt{};

    bool operator==(const call &) const = default;
};

/// One sending of a call to one upstream.
struct attempt
{
    std::string instance; ///< the upstream's incarnation; another one must refuse
    std::string account;
    duration timeLeft{};
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> lastEvent;

    auto operator<=>(const attempt &) const = default;
};

} // namespace ivypier::relay
