#pragma once

#include "relay/line_fit.h"

namespace ivypier::relay {

/// What calls of a service take at an upstream of mean speed, in milliseconds. The priors hold until this
/// node has seen a few dozen calls of the service.
struct service_timing
{
    line_fit firstEvent{30.0, 1.0 / 50.0, 4000.0, 8.0}; ///< against the prompt tokens to read
    line_fit eventGap{25.0, 0.2, 10.0, 20.0}; ///< against the load in calls
    line_fit response{20.0, 1.0, 6.0, 8.0}; ///< of a plain call, against the load in calls
    double call = 500.0; ///< from the start to the end of a call
};

} // namespace ivypier::relay
