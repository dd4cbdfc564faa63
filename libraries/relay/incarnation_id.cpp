#include "relay/incarnation_id.h"

#include <algorithm>
#include <string_view>

namespace ivypier::relay {

std::string incarnationId(const std::string &name, std::int64_t startedAt)
{
    static constexpr std::string_view digits
        = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    std::string start;
    for (std::int64_t left = startedAt; left > 0; left /= static_cast<std::int64_t>(digits.size()))
        start.push_back(digits[static_cast<std::size_t>(left) % digits.size()]);
    std::reverse(start.begin(), start.end());
    return name + '@' + start;
}

} // namespace ivypier::relay
