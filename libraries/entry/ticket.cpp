#include "entry/ticket.h"

#include "base/hash.h"

#include <algorithm>
#include <cctype>

namespace ivypier::entry {

namespace {

constexpr std::size_t hex_digits = 16;
constexpr std::size_t tag_digits = 16;
constexpr std::size_t prefix_length = 3 * (hex_digits + 1) + tag_digits;
constexpr std::size_t caller_part_limit = 64;

std::string joinNumbers(const ticket &value)
{
    return toHex(value.home) + '-' + toHex(value.witness) + '-' + toHex(value.epoch);
}

std::string computeTag(const ticket &value, const secret_key &fleetKey)
{
    return bytesToHex(fleetKey.authenticate("ticket " + joinNumbers(value))).substr(0, tag_digits);
}

bool isCallerPart(std::string_view text)
{
    const auto allowed = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_';
    };
    return !text.empty() && text.size() <= caller_part_limit
        && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace

outcome<ticket> ticket::parse(std::string_view text, const secret_key &fleetKey)
{
    const error malformed{error_code::invalid_argument, "not a request id: <ticket prefix>.<caller's part>"};
    if (text.size() < prefix_length + 2 || text[prefix_length] != '.')
        return malformed;
    const auto number
        = [&](std::size_t index) { return fromHex(text.substr(index * (hex_digits + 1), hex_digits)); };
    ticket result{number(0), number(1), number(2), std::string(text.substr(prefix_length + 1))};
    if (result.home == 0 || !isCallerPart(result.callerPart))
        return malformed;
    if (!equalInConstantTime(result.prefix(fleetKey), text.substr(0, prefix_length)))
        return error{error_code::unauthenticated, "not a ticket of this fleet"};
    return result;
}

std::string ticket::prefix(const secret_key &fleetKey) const
{
    return joinNumbers(*this) + '-' + computeTag(*this, fleetKey);
}

std::string ticket::text(const secret_key &fleetKey) const
{
    return prefix(fleetKey) + '.' + callerPart;
}

std::string ticket::key() const
{
    return joinNumbers(*this) + '.' + callerPart;
}

} // namespace ivypier::entry
