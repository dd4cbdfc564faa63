#pragma once

#include "base/outcome.h"

#include <string>
#include <string_view>

namespace ivypier {

/// Encodes bytes as base64 (RFC 4648, section 4, with padding).
std::string encodeBase64(std::string_view bytes);

/// Decodes base64. Fails with `invalid_argument` for text that is not base64.
outcome<std::string> decodeBase64(std::string_view text);

} // namespace ivypier
