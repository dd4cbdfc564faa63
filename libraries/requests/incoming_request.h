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

/// A caller's request, checked and ready to run.
struct incoming_request
{
    entry::ticket id;
    std::string account;
    configuration::service service;
    configuration::request_class requestClass;
    bool repeatable = false;
    std::string conversation; ///< empty: none
    duration timeout{}; ///< the caller waits no longer than this
    std::string method; ///< plain services only, as are path and query
    std::string path;
    std::string query;
    std::string contentType;
    std::string body;
    std::uint64_t promptTokens = 0; ///< estimate; model services only, as is outputTokens
    std::uint64_t outputTokens = 0;
    routing::prompt_prefixes prefixes; ///< of the prompt, one a message

    auto operator<=>(const incoming_request &) const = default;

    /// The request's name at home, witness and successors: no other account can have it.
    std::string key() const
    {
        return account + '/' + id.key();
    }

    /// The same with what its ticket says.
    request_name name() const
    {
        return {key(), id.home, id.witness, id.epoch};
    }
};

} // namespace ivypier::requests
