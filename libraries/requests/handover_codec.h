#pragma once

#include "base/outcome.h"
#include "requests/handed_request.h"

#include <json/value.h>

namespace ivypier::requests {

/// JSON form of a request on its way to a successor. The service and class travel with it, so that it is
/// served under the configuration that it was accepted under.
Json::Value encode(const handed_request &handed);

outcome<handed_request> decodeHanded(const Json::Value &json);

} // namespace ivypier::requests
