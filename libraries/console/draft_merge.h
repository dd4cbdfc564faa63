#pragma once

#include "console/draft.h"

#include <string>
#include <vector>

namespace ivypier::console {

/// The result of rebasing a draft onto another document.
struct merged_draft
{
    draft result;
    /// Entries changed by both sides, e.g. `services tariff`; the result has the draft's version of them.
    std::vector<std::string> conflictingEntries;

    auto operator<=>(const merged_draft &) const = default;
};

/// Merges two drafts entry by entry: applies the changes from `base` to `ours` on top of `theirs`.
merged_draft mergeDraft(const draft &base, const draft &ours, const draft &theirs);

} // namespace ivypier::console
