#pragma once

#include "base/clock.h"

namespace ivypier {

/// Monotonic time that also counts while the machine is suspended, so that a lease that ran out meanwhile is
/// seen to have run out.
time_point bootClockNow();

} // namespace ivypier
