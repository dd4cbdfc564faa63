#pragma once

#include "configuration/document.h"

#include <compare>
#include <string>
#include <vector>

namespace ivypier::configuration {

/// One field that differs between two documents. Texts are as they stand in the TOML document, without
/// quotes.
struct document_change
{
    std::string path; ///< e.g. `services.rates.budget_per_hour` or `services.rates.classes.counter.worth`
    std::string before; ///< empty: the field is new
    std::string after; ///< empty: the field is gone

    auto operator<=>(const document_change &) const = default;
};

/// Every field that differs, by path. Entries are matched by their names, so that their order does not count;
/// an entry that is new or gone is listed field by field. Empty for equal documents.
std::vector<document_change> difference(const document &before, const document &after);

/// `path: "before" -> "after"`, one line.
std::string describe(const document_change &change);

} // namespace ivypier::configuration
