#pragma once

#include "routing/baseline_router.h"

namespace ivypier::routing {

/// The upstream whose last report names the least work. A baseline.
class least_reported_router final : public baseline_router
{
protected:
    double rank(const upstream_counts &counts) const override;
};

} // namespace ivypier::routing
