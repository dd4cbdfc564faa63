#pragma once

#include "console/draft.h"

#include <string>
#include <vector>

namespace ivypier::console {

/// Holds the content of a form.
struct form_view
{
    section formSection = section::deployment;
    std::size_t index = 0;
    bool isNew = false;
    draft_entry entry;
    std::vector<settings_error> faults; ///< faults of the entry; paths are relative to the entry
    std::vector<std::string> serviceNames;
    std::string formToken;

    auto operator<=>(const form_view &) const = default;
};

/// Returns the form of one entry as HTML. Shows each fault next to its field, and a linked list of all faults
/// at the top.
std::string formHtml(const form_view &view);

/// Parses a submitted form into an entry. Omits empty and unknown fields. A new key is stored only as its
/// SHA-256 digest; for one of less than 16 characters, the digest field gets a text that fails validation.
draft_entry entryFromForm(section formSection, const std::vector<std::pair<std::string, std::string>> &form);

/// Returns the faults of one entry, with paths relative to the entry.
std::vector<settings_error> faultsInEntry(const std::vector<settings_error> &faults, section formSection,
                                          std::size_t index);

} // namespace ivypier::console
