#pragma once

#include "base/outcome.h"
#include "requests/handover_payload.h"

#include <json/value.h>

namespace ivypier::requests {

/// Encodes and decodes the JSON form of a request that is handed over. It includes the service and the class,
/// so that the successor serves the request under the configuration that it was accepted under.
Json::Value encode(const handover_payload &payload);

outcome<handover_payload> decodeHandoverPayload(const Json::Value &json);

} // namespace ivypier::requests
