#pragma once

#include "base/outcome.h"
#include "requests/handover_payload.h"

#include <json/value.h>

namespace ivypier::requests {

/// JSON form of a request on its way to a successor. The service and class travel with it, so that it is
/// served under the configuration that it was accepted under.
Json::Value encode(const handover_payload &payload);

outcome<handover_payload> decodeHandoverPayload(const Json::Value &json);

} // namespace ivypier::requests
