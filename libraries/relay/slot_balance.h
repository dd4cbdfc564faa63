#pragma once

#include "relay/version_slots.h"

#include <cstdint>
#include <map>
#include <string>

namespace ivypier::relay {

/// A version gets further slots only once it lacks this many. Hysteresis keeps the slots from following each
/// upstream that comes or goes, because a slot that moves proves nothing for minutes.
inline constexpr std::size_t slot_move_threshold = version_slots::slot_count / 8;

/// Slots that may have moved and not prove their version yet, so that most streams keep a proof.
inline constexpr std::size_t max_moving_slots = 6;

/// A version has at most this many times the slots that its capacity would give it. While deviations are
/// late, its upstreams take all new streams of its slots.
inline constexpr std::size_t max_slots_per_share = 2;

/// Returns the slots after the moves that are due at `now`, a wall-clock time in milliseconds. `capacity`
/// holds the calls that the upstreams of each version process concurrently; the slots of a version that it
/// lacks, and those above max_slots_per_share, move at once. Slots that move are unconfirmed.
version_slots balancedSlots(const version_slots &current, const std::map<std::string, double> &capacity,
                            std::int64_t now);

} // namespace ivypier::relay
