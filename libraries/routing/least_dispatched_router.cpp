#include "routing/least_dispatched_router.h"

namespace ivypier::routing {

double least_dispatched_router::rank(const upstream_counts &of) const
{
    return static_cast<double>(of.inFlight);
}

} // namespace ivypier::routing
