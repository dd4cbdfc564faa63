#include "routing/prompt_digests.h"

namespace ivypier::routing {

namespace {

constexpr std::uint64_t bytes_per_token = 4;

} // namespace

prompt_prefixes_builder &prompt_prefixes_builder::add(std::string_view role, std::string_view content)
{
    for (const std::string_view piece : {role, std::string_view(": "), content, std::string_view("\n")}) {
        m_hash.append(piece);
        m_bytes += piece.size();
    }
    m_prefixes.digests.push_back(toHex(m_hash.digest()));
    m_prefixes.tokens.push_back(m_bytes / bytes_per_token);
    return *this;
}

prompt_prefixes prompt_prefixes_builder::build() const
{
    return m_prefixes;
}

} // namespace ivypier::routing
