#pragma once

#include "base/outcome.h"
#include "configuration/configuration_source.h"
#include "http/message.h"

#include <string>

namespace ivypier::node {

/// Path of the POST request by which an operator stops a node gracefully.
inline constexpr const char *drain_path = "/internal/drain";

/// Returns the name of the operator whose key the request carries (`Authorization: Bearer <key>`). Fails with
/// `invalid_argument` if the method isn't POST, `unavailable` if the node has no configuration document yet,
/// and `unauthenticated` if the key belongs to no operator.
outcome<std::string> authenticateOperator(const configuration::versioned_document *currentDocument,
                                          const http::request &incoming);

/// Returns the response for an error of authenticateOperator().
http::response errorResponse(const error &failure);

} // namespace ivypier::node
