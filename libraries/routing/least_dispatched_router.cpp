#include "routing/least_dispatched_router.h"

namespace ivypier::routing {

double least_dispatched_router::rank(const upstream_counts &counts) const
{
    return static_cast<double>(counts.inFlight);
}

} // namespace ivypier::routing
