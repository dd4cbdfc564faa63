#include "routing/least_reported_router.h"

namespace ivypier::routing {

double least_reported_router::rank(const upstream_counts &counts) const
{
    const double limit = counts.load.streamLimit > 0 ? counts.load.streamLimit : 1.0;
    return counts.load.queuedSeconds + counts.load.runningStreams / limit;
}

} // namespace ivypier::routing
