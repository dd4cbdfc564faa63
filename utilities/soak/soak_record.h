#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ivypier::soak {

/// Events of a whole stream.
inline constexpr int stream_events = 16;

/// How streams end.
struct stream_ending
{
    int length = stream_events; ///< events of a whole stream; 0: upstreams never end one
    double leavingShare = 0.2; ///< of the callers, who leave before the end
    std::size_t eventsBeforeLeaving = 6;

    /// Returns streams that upstreams never end, and that all callers leave.
    static stream_ending never()
    {
        return {0, 1.0, 12};
    }
};

/// Whether a call may run more than once, and what its answer is.
enum class call_type {
    at_most_once,
    idempotent,
    stream, ///< may be resumed
};

inline constexpr std::size_t no_fault = SIZE_MAX;

/// One try of a caller, as the caller saw it.
struct caller_record
{
    std::string id;
    std::string first; ///< id of the call that began the stream; `id` unless it resumes one
    call_type type = call_type::at_most_once;
    std::string body;
    std::size_t node = 0;
    duration sentAt{}; ///< since the start of the run
    duration endedAt{};
    int status = 0; ///< 0: no answer
    std::string answer; ///< body of an answer that is no stream
    std::vector<std::uint64_t> events; ///< numbers, in the order received
    std::uint64_t lastEvent = 0; ///< after which the stream is to go on
    bool isWhole = false; ///< the answer was complete, or the caller left a stream that went on
    std::size_t crashingFault = no_fault; ///< the fault by which it ends the upstreams that run it

    bool isCrashing() const
    {
        return crashingFault != no_fault;
    }

    auto operator<=>(const caller_record &) const = default;
};

/// A request that an upstream received.
struct upstream_record
{
    std::string upstream;
    std::string version;
    std::string request;
    duration at{}; ///< since the start of the run
    bool isRefused = false; ///< and was not run
    bool isCrashing = false;

    auto operator<=>(const upstream_record &) const = default;
};

/// A promise that was broken.
struct finding
{
    std::string rule;
    std::string text;

    auto operator<=>(const finding &) const = default;
};

} // namespace ivypier::soak
