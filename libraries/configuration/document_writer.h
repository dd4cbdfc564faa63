#pragma once

#include "configuration/document.h"

#include <string>
#include <string_view>

namespace ivypier::configuration {

/// Returns the canonical TOML text of a document: equal documents have the same text, and parseDocument()
/// returns an equal document for it.
std::string writeDocument(const document &content);

/// Returns a text as a TOML basic string, quoted and escaped.
std::string quotedToml(std::string_view text);

} // namespace ivypier::configuration
