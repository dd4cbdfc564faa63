#pragma once

#include "configuration/document.h"
#include "console/form_description.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::console {

/// An entry as the operator entered it: the text of each field, by the field's path inside the entry. Lists
/// have one value per line. Empty fields are omitted.
struct draft_entry
{
    std::map<std::string, std::string> fields;

    auto operator<=>(const draft_entry &) const = default;

    /// Returns a field's text; empty if the field is missing.
    std::string text(const std::string &path) const;

    /// Returns the number of class rows: one more than the highest class index of any field.
    std::size_t classCount() const;
};

/// A document being edited, which may be invalid: holds the texts that an operator entered.
struct draft
{
    std::map<section, std::vector<draft_entry>> entries;

    auto operator<=>(const draft &) const = default;

    /// Returns a draft whose text parses back to `content`.
    static draft fromDocument(const configuration::document &content);

    /// Returns the entries of a section; empty if it has none.
    const std::vector<draft_entry> &entriesIn(section formSection) const;

    /// Returns the draft as TOML, for parseDocument(). An invalid number is written as a string, so that
    /// parseDocument() reports a type error with the path of that field rather than a syntax error.
    std::string text() const;

    /// Returns the names of the services, as options for form fields.
    std::vector<std::string> serviceNames() const;
};

/// Returns the prefix of the paths of an entry's faults, e.g. `services[2].`
std::string entryPathPrefix(section formSection, std::size_t index);

} // namespace ivypier::console
