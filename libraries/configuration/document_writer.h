#pragma once

#include "configuration/document.h"

#include <string>
#include <string_view>

namespace ivypier::configuration {

/// The canonical TOML text of a document: equal documents give the same text, and parseDocument() reads it
/// back to an equal document.
std::string writeDocument(const document &content);

/// A text as a TOML basic string, quoted and escaped.
std::string quotedToml(std::string_view text);

} // namespace ivypier::configuration
