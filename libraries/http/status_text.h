#pragma once

#include <string_view>

namespace ivypier::http {

/// The standard reason phrase of a status code; `Status` for an unknown one.
std::string_view reasonPhrase(int status);

} // namespace ivypier::http
