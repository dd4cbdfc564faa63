#pragma once

#include "base/endpoint.h"
#include "base/settings_reader.h"

#include <string_view>
#include <vector>

namespace ivypier {

/// Reads a required address of the form `10.0.0.1:8080`; a missing or wrong one is a fault.
endpoint requiredEndpoint(settings_reader &table, std::string_view key);

/// Reads a list of addresses; a wrong one is a fault and left out.
std::vector<endpoint> optionalEndpoints(settings_reader &table, std::string_view key);

} // namespace ivypier
