#include "relay/upstream_selector.h"

#include "relay/shared_prefix.h"

namespace ivypier::relay {

std::uint64_t selection_request::work() const
{
    return request->size ? request->size->promptTokens + request->size->answerTokens : 1;
}

std::uint64_t upstream_selector::tokensToRead(const call &request, const upstream_record &)
{
    return request.size ? ownTokens(*request.size) : 0;
}

} // namespace ivypier::relay
