#pragma once

#include "replay_result.h"

#include <string>

namespace ivypier::replay {

/// Returns histograms of the time to first token and the time between tokens as CSV: one line per account,
/// class, measure and non-empty bucket, with the bucket's upper edge in seconds and its count. Buckets are
/// logarithmic, ten per decade.
std::string histogramTable(const replay_result &result);

} // namespace ivypier::replay
