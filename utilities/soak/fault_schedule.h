#pragma once

#include "base/clock.h"
#include "base/outcome.h"
#include "base/random_source.h"

#include <compare>
#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::soak {

/// A fault from outside of the nodes.
enum class fault_kind {
    node_stopped, ///< SIGTERM, and started again
    node_killed, ///< SIGKILL, and started again
    node_frozen, ///< SIGSTOP, and SIGCONT after the fault's length
    nodes_killed, ///< all at once, and started again
    platform_down,
    upstream_ends, ///< its process ends without notice, and is back a little later
    upstream_leaves, ///< says so in its answers, until the fault ends
    upstream_waits, ///< wants no calls
    upstream_limits, ///< takes a few calls a second
    crashing_part, ///< a part of prompts ends each upstream that begins to run it
    crashing_call, ///< one call does
};

inline constexpr std::size_t fault_kind_count = static_cast<std::size_t>(fault_kind::crashing_call) + 1;

const char *nameOf(fault_kind kind);
outcome<fault_kind> faultKindOf(std::string_view name);

/// One fault of a schedule.
struct fault
{
    fault_kind kind = fault_kind::node_stopped;
    duration at{}; ///< since the start of the run
    duration length{};
    std::size_t target = 0; ///< number of the node or upstream

    auto operator<=>(const fault &) const = default;
};

/// What is played: spells with faults, and calm ones in which all promises must hold.
struct fault_schedule
{
    /// Each spell of faults lasts this long, as does the calm one after it.
    static constexpr duration spell_length = std::chrono::seconds(8);
    static constexpr std::size_t max_faults_per_spell = 3;

    std::uint64_t seed = 0;
    duration length{};
    std::vector<fault> faults;

    bool operator==(const fault_schedule &) const = default;

    /// Draws the faults of a run. `kinds` limits them; empty: all.
    static fault_schedule draw(std::uint64_t seed, duration length, std::size_t nodes, std::size_t upstreams,
                               const std::set<fault_kind> &kinds);

    /// Returns the schedule as text, a line for each fault, that parse() reads.
    std::string text() const;

    /// Fails with `invalid_argument` if the text is no schedule.
    static outcome<fault_schedule> parse(std::string_view text);

    /// Returns whether a time is in a calm spell, and `settled` after its start.
    static bool isCalm(duration at, duration settled);
};

} // namespace ivypier::soak
