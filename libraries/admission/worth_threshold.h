#pragma once

#include "admission/admission_policy.h"
#include "base/random_source.h"

namespace ivypier::admission {

/// The most expected time at which a request is still taken: the whole target for the service's class of most
/// worth, less of it for lower worth, and less again for an account that uses more than its share. So as load
/// rises the accounts over their share go first, then the classes of least worth. A request that takes
/// longer than the target on an idle upstream would never be taken; it is judged by its wait alone.
duration worthThreshold(const admission_request &request);

/// When a refused caller may come back: once the backlog above the threshold has been worked off, jittered
/// so that refused callers don't return together.
duration retryAfterBacklog(const admission_request &request, random_source &randomness);

} // namespace ivypier::admission
