#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypier::delivery {

enum class rollout_state : std::uint8_t { in_progress, completed, rolled_back };

/// Returns the name of a state as the platform's rows and the log have it.
std::string_view name(rollout_state state);

/// Returns the state whose name is `text`, or std::nullopt if there is none.
std::optional<rollout_state> rolloutStateOf(std::string_view text);

/// Orders the statements on one rollout: by the fencing token of the holder that stated them, then by their
/// number.
struct permission_number
{
    std::uint64_t tenure = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const permission_number &) const = default;
};

/// What the holder of the duties states to the fleet about one rollout.
struct rollout_status
{
    std::string service;
    std::string targetVersion;
    std::uint64_t orderVersion = 0; ///< row version of the order
    rollout_state state = rollout_state::in_progress;
    double share = 0.0; ///< part of new calls that go to the target, from 0 to 1
    permission_number number;
    std::int64_t statedAt = 0; ///< wall-clock time in milliseconds since 1970

    auto operator<=>(const rollout_status &) const = default;
};

} // namespace ivypier::delivery
