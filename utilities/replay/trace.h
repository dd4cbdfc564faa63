#pragma once

#include "base/clock.h"
#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::replay {

/// One request of a trace.
struct trace_request
{
    duration at{}; ///< arrival time since the trace's start
    std::string account;
    std::string requestClass;
    double worth = 1.0;
    std::string conversation;
    unsigned turn = 0; ///< index in the conversation, from 0
    std::vector<std::uint64_t> prefixTokens; ///< prompt tokens up to the end of each message
    std::uint64_t outputTokens = 0;
    bool repeatable = true;

    auto operator<=>(const trace_request &) const = default;

    /// Returns an identifier of the prompt's first `messages` messages, equal for all requests that share
    /// them.
    std::string prefix(std::size_t messages) const;
};

/// Requests in order of arrival.
using trace = std::vector<trace_request>;

/// Encodes a trace as JSON Lines, one request per line.
std::string writeTrace(const trace &requests);

/// Parses the output of writeTrace(). Errors include the line number.
outcome<trace> readTrace(std::string_view text);

} // namespace ivypier::replay
