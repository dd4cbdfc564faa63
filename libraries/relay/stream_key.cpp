#include "relay/stream_key.h"

#include "base/hash.h"

#include <string>

namespace ivypier::relay {

stream_key stream_key::of(std::string_view account, std::string_view callId)
{
    std::string text = std::to_string(account.size());
    text.append(":").append(account).append(callId);
    return {hash64(text, 1), hash64(text, 2)};
}

} // namespace ivypier::relay
