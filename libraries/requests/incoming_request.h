#pragma once

#include "base/clock.h"
#include "configuration/document.h"
#include "entry/ticket.h"
#include "requests/request_name.h"
#include "routing/prompt_digests.h"

#include <compare>
#include <cstdint>
#include <string>

namespace ivypier::requests {

/// Validated request of a caller, ready to run.
struct incoming_request
{
    entry::ticket id;
    std::string account;
    configuration::service service;
    configuration::request_class requestClass;
    bool repeatable = false;
    std::string conversation; ///< empty when the request belongs to no conversation
    duration timeout{}; ///< maximum time that the caller waits for the answer
    std::string method; ///< plain services only, as are path and query
    std::string path;
    std::string query;
    std::string contentType;
    std::string body;
    std::uint64_t promptTokens = 0; ///< estimate; model services only, as is outputTokens
    std::uint64_t outputTokens = 0;
    routing::prompt_prefixes prefixes; ///< prefixes of the prompt, one per message

    auto operator<=>(const incoming_request &) const = default;

    /// Returns the key of the request on its home, witness and successors. It includes the account, so that
    /// different accounts can't share a key.
    std::string key() const
    {
        return account + '/' + id.key();
    }

    /// Returns the key with the home, witness and epoch of the ticket.
    request_name name() const
    {
        return {key(), id.home, id.witness, id.epoch};
    }
};

} // namespace ivypier::requests
