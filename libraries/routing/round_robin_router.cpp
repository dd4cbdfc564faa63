#include "routing/round_robin_router.h"

namespace ivypier::routing {

double round_robin_router::rank(const upstream_counts &counts) const
{
    return static_cast<double>(counts.dispatched);
}

} // namespace ivypier::routing
