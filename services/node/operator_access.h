#pragma once

#include "base/outcome.h"
#include "configuration/configuration_source.h"
#include "http/message.h"

#include <string>

namespace ivypier::node {

/// Where an operator asks a node to stop gracefully, by POST.
inline constexpr const char *drain_path = "/internal/drain";

/// The name of the operator whose key a POST carries (`Authorization: Bearer <key>`).
outcome<std::string> authenticateOperator(const configuration::versioned_document *currentDocument,
                                          const http::request &incoming);

/// The response to a request that authenticateOperator() refused.
http::response errorResponse(const error &failure);

} // namespace ivypier::node
