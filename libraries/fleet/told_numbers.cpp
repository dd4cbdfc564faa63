#include "fleet/told_numbers.h"

#include <charconv>

namespace ivypier::fleet {

std::string encodeNumbers(const std::map<std::string, std::uint64_t> &numbers)
{
    std::string text;
    for (const auto &[name, number] : numbers) {
        std::string entry = (text.empty() ? "" : " ") + name + '=' + std::to_string(number);
        if (text.size() + entry.size() > told_text_limit)
            break;
        text += entry;
    }
    return text;
}

std::map<std::string, std::uint64_t> decodeNumbers(std::string_view text)
{
    std::map<std::string, std::uint64_t> numbers;
    while (!text.empty()) {
        const std::size_t space = text.find(' ');
        const std::string_view entry = text.substr(0, space);
        text = space == std::string_view::npos ? std::string_view() : text.substr(space + 1);
        const std::size_t equals = entry.find('=');
        if (equals == std::string_view::npos)
            continue;
        const std::string_view digits = entry.substr(equals + 1);
        std::uint64_t number = 0;
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (failure == std::errc() && end == digits.data() + digits.size())
            numbers[std::string(entry.substr(0, equals))] = number;
    }
    return numbers;
}

} // namespace ivypier::fleet
