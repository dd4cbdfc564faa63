#pragma once

#include "configuration/document.h"

#include <compare>
#include <string>
#include <vector>

namespace ivypier::configuration {

/// One field that differs between two documents.
struct document_change
{
    std::string path; ///< e.g. `services.tariff.budget_per_hour`
    std::string before; ///< empty: was not there
    std::string after; ///< empty: is not there any more

    auto operator<=>(const document_change &) const = default;
};

/// Every field that differs, by path.
std::vector<document_change> difference(const document &before, const document &after);

} // namespace ivypier::configuration
