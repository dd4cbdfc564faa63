#include "routing/round_robin_router.h"

namespace ivypier::routing {

double round_robin_router::rank(const upstream_counts &of) const
{
    return static_cast<double>(of.dispatched);
}

} // namespace ivypier::routing
