#pragma once

#include "configuration/document.h"

#include <string_view>

namespace ivypier::configuration {

/// The operator who holds this key, or null. Takes the same time whichever operator it is.
const operator_account *findOperator(const std::vector<operator_account> &operators, std::string_view key);

} // namespace ivypier::configuration
