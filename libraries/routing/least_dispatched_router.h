#pragma once

#include "routing/baseline_router.h"

namespace ivypier::routing {

/// The upstream with the fewest attempts of this node in flight. A baseline.
class least_dispatched_router final : public baseline_router
{
protected:
    double rank(const upstream_counts &counts) const override;
};

} // namespace ivypier::routing
