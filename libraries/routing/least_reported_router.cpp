#include "routing/least_reported_router.h"

namespace ivypier::routing {

double least_reported_router::rank(const upstream_counts &of) const
{
    const double limit = of.load.streamLimit > 0 ? of.load.streamLimit : 1.0;
    return of.load.queuedSeconds + of.load.runningStreams / limit;
}

} // namespace ivypier::routing
