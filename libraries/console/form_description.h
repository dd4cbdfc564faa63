#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ivypier::console {

/// The parts of a document that have forms.
enum class section { deployment, services, client_accounts, upstreams, operators };

/// Every section, in the document's order.
const std::vector<section> &allSections();

/// The section's key in the document, e.g. `client_accounts`.
std::string_view key(section of);

/// What the section's entries are called, e.g. `Client accounts` and `client account`.
std::string_view title(section of);
std::string_view entryTypeName(section of);

/// The section of this key; `deployment` when there is none.
section sectionFromKey(std::string_view wanted);

/// How a field is entered and written.
enum class field_kind { text, number, choice, service, service_list, key_digest };

/// One field of a section's form.
struct field_description
{
    std::string key; ///< in the document's table
    std::string label;
    std::string hint;
    field_kind kind = field_kind::text;
    std::vector<std::string> choices;

    auto operator<=>(const field_description &) const = default;
};

/// The fields of a section, in the order of the form and of the text.
const std::vector<field_description> &sectionFields(section of);

/// The fields of one class of a service.
const std::vector<field_description> &classFields();

/// The path of a class's field inside a service, e.g. `classes[0].worth`.
std::string classPath(std::size_t index, std::string_view key);

} // namespace ivypier::console
