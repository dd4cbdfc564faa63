#pragma once

#include "base/random_source.h"
#include "base/settings_reader.h"
#include "trace.h"

#include <string>
#include <variant>
#include <vector>

namespace ivypier::replay {

/// Requests of one client account.
struct account_parameters
{
    std::string name;
    std::string requestClass;
    double worth = 1.0;
    double fraction = 0.0; ///< of all conversations that begin
    double burstFraction = 0.0; ///< of its conversations that begin in bursts
    std::int64_t burstSize = 1; ///< conversations that begin together
    std::int64_t instructionTokens = 0; ///< of the first message, the same in every conversation
    std::int64_t messageTokens = 0; ///< mean of a caller's message
    std::int64_t answerTokens = 0; ///< mean of an answer
    std::int64_t turns = 1; ///< mean of a conversation
    double pauseSeconds = 10.0; ///< mean between two turns
    double nonRepeatableFraction = 0.0; ///< of conversations whose last request may not be repeated

    auto operator<=>(const account_parameters &) const = default;
};

/// What a trace is generated from.
struct trace_parameters
{
    std::string deployment;
    double peak = 1.0; ///< rate at noon against the mean
    std::vector<account_parameters> accounts;

    auto operator<=>(const trace_parameters &) const = default;
};

/// Reads a trace's parameters (TOML), or every fault of them.
std::variant<trace_parameters, std::vector<settings_error>> readTraceParameters(std::string_view text);

/// A trace over `span` with `requestsPerSecond` requests a second in the mean, from Poisson arrivals of
/// conversations.
trace generateTrace(const trace_parameters &parameters, double requestsPerSecond, duration span,
                    random_source &randomness);

} // namespace ivypier::replay
