#pragma once

#include "configuration/document.h"

#include <compare>
#include <string>
#include <vector>

namespace ivypier::configuration {

/// Describes one field that differs between two documents. Values are the TOML text without quotes.
struct document_change
{
    std::string path; ///< e.g. `services.rates.budget_per_hour` or `services.rates.classes.counter.worth`
    std::string before; ///< empty when the field was added
    std::string after; ///< empty when the field was removed

    auto operator<=>(const document_change &) const = default;
};

/// Returns every field that differs, sorted by path; empty for equal documents. Entries are matched by name,
/// so their order is irrelevant. An added or removed entry is listed field by field.
std::vector<document_change> difference(const document &before, const document &after);

/// Formats a change as one line: `path: "before" -> "after"`.
std::string describe(const document_change &change);

} // namespace ivypier::configuration
