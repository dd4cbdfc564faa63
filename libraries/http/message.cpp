#include "http/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace ivypier::http {

namespace {

char toLower(char character)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

std::string findHeader(const header_map &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        const bool escape = text[index] == '%' && index + 2 < text.size()
            && std::from_chars(text.data() + index + 1, text.data() + index + 3, value, 16).ptr
                == text.data() + index + 3;
        if (!escape) {
            result += text[index] == '+' ? ' ' : text[index];
            continue;
        }
        result += static_cast<char>(value);
        index += 2;
    }
    return result;
}

} // namespace

bool header_name_less::operator()(std::string_view left, std::string_view right) const
{
    return std::lexicographical_compare(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char leftChar, char rightChar) { return toLower(leftChar) < toLower(rightChar); });
}

std::vector<form_field> parseForm(std::string_view text)
{
    std::vector<form_field> fields;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('&'), text.size());
        const std::string_view pair = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos)
            fields.emplace_back(percentDecode(pair.substr(0, equals)),
                                percentDecode(pair.substr(equals + 1)));
    }
    return fields;
}

std::string request::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string request::parameter(std::string_view name) const
{
    for (const auto &[key, value] : parseForm(query)) {
        if (key == name)
            return value;
    }
    return {};
}

std::string response::header(std::string_view name) const
{
    return findHeader(headers, name);
}

response jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace ivypier::http
