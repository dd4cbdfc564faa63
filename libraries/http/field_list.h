#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivypier::http {

/// Header fields in the order in which they came; a name may stand more than once.
class field_list
{
public:
    using field = std::pair<std::string, std::string>;

    field_list() = default;
    field_list(std::initializer_list<field> fields);

    void add(std::string_view name, std::string_view value);

    /// Removes every field of this name, whatever its case.
    void remove(std::string_view name);

    /// Replaces every field of this name by one.
    void set(std::string_view name, std::string_view value);

    /// The first value; empty when there is none.
    std::string_view find(std::string_view name) const;

    std::size_t count(std::string_view name) const;

    /// True when one of the comma-separated values of this name is `token`, whatever its case.
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

/// Compares header names and tokens without regard to case (RFC 9110, section 5.1).
bool equalNames(std::string_view left, std::string_view right);

/// Appends `name: value` and the line's end.
void appendField(std::string &text, std::string_view name, std::string_view value);

} // namespace ivypier::http
