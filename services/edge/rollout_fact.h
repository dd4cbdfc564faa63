#pragma once

#include "base/outcome.h"
#include "delivery/rollout_status.h"

#include <string>
#include <string_view>

namespace ivypier::edge {

/// Encodes a statement of the holder of the duties on a rollout as the value of a gossip fact, and decodes
/// it. The service is the end of the fact's key.
std::string encodeRolloutFact(const delivery::rollout_status &status);
outcome<delivery::rollout_status> decodeRolloutFact(const std::string &service, std::string_view text);

} // namespace ivypier::edge
