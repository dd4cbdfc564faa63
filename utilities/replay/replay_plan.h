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

/// How a stream continues when its runner is reclaimed.
enum class recovery_policy {
    restart, ///< from the prompt, discarding the delivered tokens
    proceed, ///< from the prompt and the delivered tokens
    transfer, ///< with the KV cache if the notice leaves time to export it, otherwise like proceed
};

std::string_view name(routing_policy policy);
std::string_view name(admission_choice policy);
std::string_view name(recovery_policy policy);

/// Runners that are reclaimed at the same time.
struct reclaim_wave
{
    duration at{};
    double fraction = 0.0; ///< of all runners
    duration notice{};

    auto operator<=>(const reclaim_wave &) const = default;
};

/// An interval in which every runner fails all of its attempts.
struct total_outage
{
    duration from{};
    duration until{};

    auto operator<=>(const total_outage &) const = default;
};

/// Parameters of one replay of a trace.
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
    duration reportDelay = std::chrono::seconds(2); ///< age of a load report or cache event on arrival
    duration reportInterval = std::chrono::milliseconds(500);
    bool routerKnowsReportDelay = true; ///< whether reportDelay is passed to the router
    std::size_t sampledCandidates = 2;
    double eventLossProbability = 0.0; ///< probability of losing a cache event
    std::optional<reclaim_wave> wave;
    std::optional<total_outage> outage;
    duration measuredFrom{};
    duration measuredUntil{};
    bool drain = true; ///< continue after the trace's end until every answer has ended
    std::uint64_t seed = 1;

    auto operator<=>(const replay_plan &) const = default;
};

} // namespace ivypier::replay
