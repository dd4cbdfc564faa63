#include "admission/share_record.h"

#include "base/hash.h"

#include <charconv>
#include <optional>
#include <vector>

namespace ivypier::admission {

namespace {

std::optional<share_units> parseUnits(std::string_view text)
{
    share_units value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

std::vector<std::string_view> splitWords(std::string_view text)
{
    std::vector<std::string_view> result;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(' '), text.size());
        result.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return result;
}

error malformed(std::string_view text)
{
    return {error_code::invalid_argument, "not a share record: " + std::string(text)};
}

} // namespace

std::string share_record::encode() const
{
    std::string text = std::to_string(demanded) + ' ' + std::to_string(held);
    for (const auto &[receiver, units] : transferred)
        text += ' ' + toHex(receiver) + ':' + std::to_string(units);
    return text;
}

outcome<share_record> share_record::decode(std::string_view text)
{
    const std::vector<std::string_view> parts = splitWords(text);
    if (parts.size() < 2)
        return malformed(text);
    const std::optional<share_units> demanded = parseUnits(parts[0]);
    const std::optional<share_units> held = parseUnits(parts[1]);
    if (!demanded || !held)
        return malformed(text);
    share_record result{*demanded, *held, {}};
    for (std::size_t index = 2; index < parts.size(); ++index) {
        const std::size_t colon = parts[index].find(':');
        if (colon == std::string_view::npos)
            return malformed(text);
        const membership::incarnation receiver = fromHex(parts[index].substr(0, colon));
        const std::optional<share_units> units = parseUnits(parts[index].substr(colon + 1));
        if (receiver == 0 || !units)
            return malformed(text);
        result.transferred[receiver] = *units;
    }
    return result;
}

std::string shareKey(const std::string &account, membership::incarnation node)
{
    return "share/" + account + '/' + toHex(node);
}

} // namespace ivypier::admission
