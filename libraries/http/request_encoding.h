#pragma once

#include "base/endpoint.h"
#include "http/message.h"

#include <string>

namespace ivypier::http {

/// A whole request as bytes. Host and length are set; what the message says of them is left out.
std::string encodeRequest(const endpoint &to, const request &message);

} // namespace ivypier::http
