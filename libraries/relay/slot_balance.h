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

/// Returns the slots after the moves that are due now. `capacity` holds the calls that the upstreams of each
/// version process concurrently; the slots of a version that it lacks move at once. Slots that move prove
/// their version from `provenFrom` on. Times are wall-clock times in milliseconds.
version_slots balancedSlots(const version_slots &current, const std::map<std::string, double> &capacity,
                            std::int64_t now, std::int64_t provenFrom);

} // namespace ivypier::relay
