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
    duration at{}; ///< since the trace's start
    std::string account;
    std::string requestClass;
    double worth = 1.0;
    std::string conversation;
    unsigned turn = 0; ///< of its conversation, from 0
    std::vector<std::uint64_t> prefixTokens; ///< prompt tokens up to the end of each message
    std::uint64_t outputTokens = 0;
    bool repeatable = true;

    auto operator<=>(const trace_request &) const = default;

    /// Names the first `messages` messages of the prompt: the same for every request that starts with them.
    std::string prefix(std::size_t messages) const;
};

/// Requests in the order of their times.
using trace = std::vector<trace_request>;

/// One line of JSON a request.
std::string writeTrace(const trace &requests);

/// Reads what writeTrace() wrote; the error names the line.
outcome<trace> readTrace(std::string_view text);

} // namespace ivypier::replay
