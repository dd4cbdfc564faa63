#pragma once

#include "base/log_event.h"
#include "relay/service_map.h"

#include <cstddef>
#include <vector>

namespace ivypier::edge {

/// Findings that are logged when a configuration is taken in; the others are counted.
inline constexpr std::size_t max_logged_findings = 20;

/// Returns a log line for each of the first findings of the rules of `ivypierctl check`, and one with the
/// number of the others.
std::vector<log_event> describeConfigurationFindings(const relay::service_map &content);

/// Logs what the rules of `ivypierctl check` find in a configuration. It is applied whatever they find.
void logConfigurationFindings(const relay::service_map &content);

} // namespace ivypier::edge
