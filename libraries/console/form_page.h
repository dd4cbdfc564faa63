#pragma once

#include "console/draft.h"

#include <string>
#include <vector>

namespace ivypier::console {

/// What a form shows.
struct form_view
{
    section of = section::deployment;
    std::size_t index = 0;
    bool isNew = false;
    draft_entry entry;
    std::vector<settings_error> faults; ///< those of the entry, with paths inside it
    std::vector<std::string> serviceNames;
    std::string formToken;

    auto operator<=>(const form_view &) const = default;
};

/// The form of one entry as HTML, with each fault beside its field and all of them linked at the top.
std::string formHtml(const form_view &view);

/// The entry that a sent form holds. Fields that are empty are left out; a new key is turned into its digest.
draft_entry entryFromForm(section of, const std::vector<std::pair<std::string, std::string>> &form);

/// The faults below an entry's path, with the path inside it.
std::vector<settings_error> faultsInEntry(const std::vector<settings_error> &faults, section of,
                                          std::size_t index);

} // namespace ivypier::console
