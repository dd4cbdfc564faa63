#pragma once

#include "fake_engine.h"

#include <optional>
#include <string_view>

namespace ivypier::replay {

enum class routing_policy {
    round_robin,
    least_reported,
    least_dispatched,
    expected_time,
    expected_time_no_prefixes
};
enum class admission_choice { none, deadline, early_refusal };

/// What happens to a stream whose runner is taken away.
enum class recovery_policy {
    restart, ///< from the prompt
    proceed, ///< from the prompt and the tokens delivered
    transfer, ///< with the KV cache, as far as the notice allows; else proceed
};

std::string_view name(routing_policy policy);
std::string_view name(admission_choice policy);
std::string_view name(recovery_policy policy);

/// Runners that are reclaimed together.
struct reclaim_wave
{
    duration at{};
    double fraction = 0.0; ///< of all runners
    duration notice{};

    auto operator<=>(const reclaim_wave &) const = default;
};

/// A time in which every runner fails whatever it gets.
struct total_outage
{
    duration from{};
    duration until{};

    auto operator<=>(const total_outage &) const = default;
};

/// One run of a trace.
struct replay_plan
{
    routing_policy routing = routing_policy::expected_time;
    admission_choice admission = admission_choice::early_refusal;
    recovery_policy recovery = recovery_policy::transfer;
    std::size_t nodes = 8;
    std::size_t runners = 10;
    engine_model engine;
    duration firstTokenTarget = std::chrono::milliseconds(570);
    duration interTokenTarget = std::chrono::milliseconds(51);
    duration reportDelay = std::chrono::seconds(2); ///< of a load report or cache event when it arrives
    duration reportInterval = std::chrono::milliseconds(500);
    bool routerKnowsReportDelay = true; ///< whether the router is told of reportDelay
    std::size_t sampledCandidates = 2;
    double eventLossProbability = 0.0; ///< probability that a cache event is lost
    std::optional<reclaim_wave> wave;
    std::optional<total_outage> outage;
    duration measuredFrom{};
    duration measuredUntil{};
    bool drain = true; ///< go on after the trace until every answer has ended
    std::uint64_t seed = 1;

    auto operator<=>(const replay_plan &) const = default;
};

} // namespace ivypier::replay
