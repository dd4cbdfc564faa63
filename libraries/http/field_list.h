#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivypier::http {

/// Header fields in the order of receipt. A name may occur more than once. Names are compared ignoring case.
class field_list
{
public:
    using field = std::pair<std::string, std::string>;

    field_list() = default;
    field_list(std::initializer_list<field> fields);

    void add(std::string_view name, std::string_view value);

    /// Removes all fields with this name.
    void remove(std::string_view name);

    /// Replaces all fields with this name by a single one, added at the end.
    void set(std::string_view name, std::string_view value);

    /// Returns the value of the first field with this name, or an empty string if there is none.
    std::string_view find(std::string_view name) const;

    std::size_t count(std::string_view name) const;

    /// Returns true if `token` is among the comma-separated values of the fields with this name, ignoring
    /// case.
    bool hasToken(std::string_view name, std::string_view token) const;

    auto begin() const
    {
        return m_fields.begin();
    }
    auto end() const
    {
        return m_fields.end();
    }

    bool operator==(const field_list &) const = default;

private:
    std::vector<field> m_fields;
};

/// Compares header names or tokens ignoring ASCII case (RFC 9110, section 5.1).
bool equalNames(std::string_view left, std::string_view right);

/// Appends the line `name: value`, terminated by CRLF.
void appendField(std::string &text, std::string_view name, std::string_view value);

} // namespace ivypier::http
