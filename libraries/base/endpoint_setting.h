#pragma once

#include "base/endpoint.h"
#include "base/settings_reader.h"

#include <string_view>
#include <vector>

namespace ivypier {

/// Reads a required address of the form `10.0.0.1:8080`. If it is missing or malformed, adds a fault and
/// returns an empty endpoint.
endpoint requiredEndpoint(settings_reader &table, std::string_view key);

/// Reads a list of addresses. Adds a fault for each malformed one and omits it from the result.
std::vector<endpoint> optionalEndpoints(settings_reader &table, std::string_view key);

} // namespace ivypier
