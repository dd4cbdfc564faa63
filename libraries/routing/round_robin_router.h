#pragma once

#include "routing/baseline_router.h"

namespace ivypier::routing {

/// Each upstream in turn. A baseline.
class round_robin_router final : public baseline_router
{
protected:
    double rank(const upstream_counts &counts) const override;
};

} // namespace ivypier::routing
