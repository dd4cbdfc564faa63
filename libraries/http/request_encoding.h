#pragma once

#include "base/endpoint.h"
#include "http/message.h"

#include <string>

namespace ivypier::http {

/// Encodes a complete request. Host and Content-Length are generated. Host, Content-Length, Transfer-Encoding
/// and Connection fields of the message are ignored.
std::string encodeRequest(const endpoint &to, const request &message);

} // namespace ivypier::http
