#pragma once

#include "console/draft.h"

#include <string>
#include <vector>

namespace ivypier::console {

/// A draft moved onto another document, and the entries that both sides had changed.
struct merged_draft
{
    draft result;
    std::vector<std::string> conflictingEntries; ///< e.g. `services tariff`; the draft's own version was kept

    auto operator<=>(const merged_draft &) const = default;
};

/// Applies what `own` changed of `base` to `theirs`, entry by entry.
merged_draft mergeDraft(const draft &base, const draft &own, const draft &theirs);

} // namespace ivypier::console
