#pragma once

#include "base/random_source.h"
#include "base/settings_reader.h"
#include "trace.h"

#include <string>
#include <variant>
#include <vector>

namespace ivypier::replay {

/// Traffic parameters of one client account.
struct account_parameters
{
    std::string name;
    std::string requestClass;
    double worth = 1.0;
    double fraction = 0.0; ///< of all arrivals; one is a conversation or a burst
    double burstFraction = 0.0; ///< of its arrivals that are bursts
    std::int64_t burstSize = 1; ///< conversations in one burst
    std::int64_t instructionTokens = 0; ///< length of the first message, shared by all conversations
    std::int64_t messageTokens = 0; ///< mean length of a caller's message
    std::int64_t answerTokens = 0; ///< mean length of an answer
    std::int64_t turns = 1; ///< mean number of turns in a conversation
    double pauseSeconds = 10.0; ///< mean between two turns
    double nonRepeatableFraction = 0.0; ///< of conversations whose last request must not be retried

    auto operator<=>(const account_parameters &) const = default;
};

/// Parameters of a generated trace.
struct trace_parameters
{
    std::string deployment;
    double peak = 1.0; ///< rate at noon divided by the mean rate
    std::vector<account_parameters> accounts;

    auto operator<=>(const trace_parameters &) const = default;
};

/// Parses trace parameters from TOML. Returns all faults if any are invalid.
std::variant<trace_parameters, std::vector<settings_error>> readTraceParameters(std::string_view text);

/// Generates a trace over `span` with a mean rate of `requestsPerSecond`. Conversations start as a Poisson
/// process whose rate follows a daily curve.
trace generateTrace(const trace_parameters &parameters, double requestsPerSecond, duration span,
                    random_source &randomness);

} // namespace ivypier::replay
