#pragma once

#include "routing/baseline_router.h"

namespace ivypier::routing {

/// Baseline policy: chooses the upstream with the least work according to its last load report.
class least_reported_router final : public baseline_router
{
protected:
    double rank(const upstream_counts &counts) const override;
};

} // namespace ivypier::routing
