#pragma once

#include "command.h"
#include "http/message.h"

namespace ivypier::ctl {

/// Asks the node of `--node` with the key of `--key_file`; an answer other than success is an error.
outcome<Json::Value> sendAuthenticatedRequest(const command_options &options, http::request message);

} // namespace ivypier::ctl
