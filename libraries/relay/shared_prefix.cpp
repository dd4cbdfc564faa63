#include "relay/shared_prefix.h"

#include "base/hash.h"

#include <algorithm>

namespace ivypier::relay {

std::uint64_t sharedPrefix(const prompt_size &size)
{
    if (size.parts.empty())
        return 0;
    std::string ids;
    const std::size_t shared = std::max<std::size_t>(size.parts.size() - 1, 1);
    for (std::size_t index = 0; index < shared; ++index)
        ids += std::to_string(size.parts[index].id) + ',';
    return hash64(ids);
}

std::uint64_t sharedTokens(const prompt_size &size)
{
    std::uint64_t result = 0;
    const std::size_t shared = std::max<std::size_t>(size.parts.size(), 2) - 1;
    for (std::size_t index = 0; index < std::min(shared, size.parts.size()); ++index)
        result += size.parts[index].tokens;
    return result;
}

std::uint64_t ownTokens(const prompt_size &size)
{
    return size.parts.empty() ? size.promptTokens : size.parts.back().tokens;
}

} // namespace ivypier::relay
