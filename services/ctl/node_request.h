#pragma once

#include "command.h"
#include "http/message.h"

namespace ivypier::ctl {

/// Sends a request to the node given by `--node`, authenticated with the key in `--key_file`, and returns the
/// JSON body of the response. A response with status 400 or above is an error.
outcome<Json::Value> sendAuthenticatedRequest(const command_options &options, http::request message);

} // namespace ivypier::ctl
