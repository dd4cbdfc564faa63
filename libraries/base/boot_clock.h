#pragma once

#include "base/clock.h"

namespace ivypier {

/// Returns the monotonic time since boot. It includes the time that the machine was suspended, so a lease
/// that expired during a suspend is recognized as expired.
time_point bootClockNow();

} // namespace ivypier
