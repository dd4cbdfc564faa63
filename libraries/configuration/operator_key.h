#pragma once

#include "configuration/document.h"

#include <string_view>

namespace ivypier::configuration {

/// Returns the operator with this key, or null. Compares with every operator in constant time, so the
/// duration does not reveal which one matches.
const operator_account *findOperator(const std::vector<operator_account> &operators, std::string_view key);

} // namespace ivypier::configuration
