#pragma once

#include "routing/baseline_router.h"

namespace ivypier::routing {

/// Baseline policy: chooses the upstreams in rotation.
class round_robin_router final : public baseline_router
{
protected:
    double rank(const upstream_counts &counts) const override;
};

} // namespace ivypier::routing
