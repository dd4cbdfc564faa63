#pragma once

#include "http/exchange_transport.h"
#include "relay/retry_budget.h"
#include "relay/upstream_attempt.h"

#include <string>

namespace ivypier::relay {

/// What is logged when a call ends.
struct call_end
{
    int status = 0; ///< 0: the caller got no answer
    const char *outcome = "";
    std::string route;
    std::string upstream; ///< of the last attempt
    std::uint32_t attempts = 0;
    duration elapsed{};
    std::uint64_t configuration = 0; ///< version by which the call was handled
};

/// Writes a line about the end of a call.
void logCallEnd(const call &request, const call_end &end);

/// Writes a line about an attempt that failed. `callKey` is the same for a call that comes again.
void logFailedAttempt(const call &request, const upstream_attempt &failed, crash_key callKey,
                      const http::exchange_failure &failure, time_point now);

/// Writes a line about a call that is sent once more. `budget` is the state after the retry was counted.
void logRepeatedCall(const call &request, const std::string &upstream, const char *reason,
                     std::uint32_t attempts, const retry_budget_state &budget);

} // namespace ivypier::relay
