#pragma once

#include <string_view>

namespace ivypier::http {

/// Returns the standard reason phrase of a status code, or `Status` if the code is unknown.
std::string_view reasonPhrase(int status);

} // namespace ivypier::http
