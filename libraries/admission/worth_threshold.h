#pragma once

#include "admission/admission_policy.h"
#include "base/random_source.h"

namespace ivypier::admission {

/// Returns the highest expected time at which a request is still admitted. It is the whole target for the
/// service's request class with the highest worth, a smaller part of it for lower worth, and reduced again
/// for an account over its share. So as load rises, the accounts over their share are refused first, then the
/// classes of least worth.
///
/// A request that exceeds this even on an idle upstream would always be refused, so only its waiting time is
/// limited, to a part of the threshold. The sum still may not exceed the target unless the time on an idle
/// upstream does.
duration worthThreshold(const admission_request &request);

/// Returns the time after which a refused caller may retry: the time to process the backlog above the
/// threshold, jittered so that refused callers don't all retry at once.
duration retryAfterBacklog(const admission_request &request, random_source &randomness);

} // namespace ivypier::admission
