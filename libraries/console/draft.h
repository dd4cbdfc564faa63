#pragma once

#include "configuration/document.h"
#include "console/form_description.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::console {

/// One entry as it is entered: the text of each field by its path inside the entry. Lists have one value a
/// line. A field that is left empty is not there.
struct draft_entry
{
    std::map<std::string, std::string> fields;

    auto operator<=>(const draft_entry &) const = default;

    /// A field's text; empty when it is not there.
    std::string text(const std::string &path) const;

    /// The number of classes that it has fields of.
    std::size_t classCount() const;
};

/// A document that is being edited: what an operator entered, right or wrong.
struct draft
{
    std::map<section, std::vector<draft_entry>> entries;

    auto operator<=>(const draft &) const = default;

    static draft of(const configuration::document &content);

    const std::vector<draft_entry> &of(section wanted) const;

    /// The TOML text of what was entered, for parseDocument(). A text where a number belongs stays a text, so
    /// that the fault is found at its field.
    std::string text() const;

    /// The names of the services, for choices.
    std::vector<std::string> serviceNames() const;
};

/// Where an entry's faults have their paths: `services[2].`
std::string entryPathPrefix(section of, std::size_t index);

} // namespace ivypier::console
