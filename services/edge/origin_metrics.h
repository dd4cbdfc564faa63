#pragma once

#include "base/metrics_registry.h"
#include "fleet/origin_recorder.h"

namespace ivypier::edge {

/// Sets the metrics of the stored records of where streams began.
void setOriginMetrics(metrics_registry &metrics, const fleet::origin_recorder &recorder);

} // namespace ivypier::edge
