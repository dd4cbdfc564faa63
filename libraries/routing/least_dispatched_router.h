#pragma once

#include "routing/baseline_router.h"

namespace ivypier::routing {

/// Baseline policy: chooses the upstream with the fewest attempts of this node in flight.
class least_dispatched_router final : public baseline_router
{
protected:
    double rank(const upstream_counts &counts) const override;
};

} // namespace ivypier::routing
