#pragma once

#include "base/outcome.h"
#include "configuration/document.h"
#include "gateway/answer_writer.h"
#include "http/message.h"
#include "requests/incoming_request.h"

namespace ivypier::gateway {

/// A caller's HTTP request, parsed and validated.
struct parsed_request
{
    requests::incoming_request request; ///< its id is not set
    answer_format format = answer_format::plain;

    auto operator<=>(const parsed_request &) const = default;
};

/// Returns the client account whose key is in the `Authorization: Bearer <key>` field. Returns null when
/// there is none.
const configuration::client_account *findAccount(const configuration::document &document,
                                                 const http::request &incoming);

/// Parses a `POST /v1/chat/completions` or a `/v1/services/<service>/<path>` request. Returns `not_found` for
/// an unknown path or service, or a service that the account may not use, and `invalid_argument` for a
/// malformed request. The message tells the caller what to correct.
outcome<parsed_request> parseRequest(const configuration::document &document,
                                     const configuration::client_account &account,
                                     const http::request &incoming);

} // namespace ivypier::gateway
