#include "http/field_list.h"

#include <algorithm>

namespace ivypier::http {

namespace {

char toLower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimWhitespace(std::string_view text)
{
    const auto isSpace = [](char character) { return character == ' ' || character == '\t'; };
    while (!text.empty() && isSpace(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isSpace(text.back()))
        text.remove_suffix(1);
    return text;
}

} // namespace

bool equalNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char leftChar, char rightChar) { return toLower(leftChar) == toLower(rightChar); });
}

field_list::field_list(std::initializer_list<field> fields)
    : m_fields(fields)
{
}

void field_list::add(std::string_view name, std::string_view value)
{
    m_fields.emplace_back(name, value);
}

void field_list::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const field &each) { return equalNames(each.first, name); });
}

void field_list::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

std::string_view field_list::find(std::string_view name) const
{
    for (const auto &[each, value] : m_fields) {
        if (equalNames(each, name))
            return value;
    }
    return {};
}

std::size_t field_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        m_fields.begin(), m_fields.end(), [&](const field &each) { return equalNames(each.first, name); }));
}

bool field_list::hasToken(std::string_view name, std::string_view token) const
{
    for (const auto &[each, value] : m_fields) {
        if (!equalNames(each, name))
            continue;
        std::string_view remaining = value;
        while (!remaining.empty()) {
            const std::size_t comma = remaining.find(',');
            if (equalNames(trimWhitespace(remaining.substr(0, comma)), token))
                return true;
            remaining = comma == std::string_view::npos ? std::string_view() : remaining.substr(comma + 1);
        }
    }
    return false;
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace ivypier::http
