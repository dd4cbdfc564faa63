#include "http/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace ivypier::http {

namespace {

char lower(char character)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

std::string find(const header_map &headers, std::string_view name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string percentDecoded(std::string_view text)
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
    return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(),
                                        [](char one, char other) { return lower(one) < lower(other); });
}

std::string request::header(std::string_view name) const
{
    return find(headers, name);
}

std::string request::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && percentDecoded(pair.substr(0, equals)) == name)
            return percentDecoded(pair.substr(equals + 1));
    }
    return {};
}

std::string response::header(std::string_view name) const
{
    return find(headers, name);
}

response jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace ivypier::http
