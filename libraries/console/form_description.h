#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ivypier::console {

/// The sections of a document that can be edited by forms.
enum class section { deployment, services, client_accounts, upstreams, operators };

/// Returns all sections, in the order of the document.
const std::vector<section> &allSections();

/// Returns the section's key in the document, e.g. `client_accounts`.
std::string_view sectionKey(section formSection);

/// Returns the section's heading, e.g. `Client accounts`.
std::string_view sectionTitle(section formSection);

/// Returns what one entry of the section is called, e.g. `client account`.
std::string_view entryTypeName(section formSection);

/// Returns the section with this key; `deployment` if no section has it.
section sectionFromKey(std::string_view key);

/// The input element of a field and the TOML type of its value.
enum class field_kind { text, number, choice, service, service_list, key_digest };

/// Describes one field of a section's form.
struct field_description
{
    std::string key; ///< key in the document's TOML table
    std::string label;
    std::string hint;
    field_kind kind = field_kind::text;
    std::vector<std::string> choices;

    auto operator<=>(const field_description &) const = default;
};

/// Returns the fields of a section, in the order of the form and of the TOML text.
const std::vector<field_description> &sectionFields(section formSection);

/// Returns the fields of a request class of a service.
const std::vector<field_description> &classFields();

/// Returns the path of a class's field inside a service, e.g. `classes[0].worth`.
std::string classPath(std::size_t index, std::string_view key);

} // namespace ivypier::console
