#pragma once

#include "replay_result.h"

#include <string>

namespace ivypier::replay {

/// Times to the first token and between tokens of one run, as CSV: one line for each account, class, measure
/// and bucket of a tenth of a decade, with the bucket's upper edge in seconds and its count.
std::string histogramTable(const replay_result &result);

} // namespace ivypier::replay
