#pragma once

#include "base/outcome.h"
#include "configuration/document.h"
#include "gateway/answer_writer.h"
#include "http/message.h"
#include "requests/incoming_request.h"

namespace ivypier::gateway {

/// A caller's HTTP request, read.
struct parsed_request
{
    requests::incoming_request request; ///< without its id
    answer_format form = answer_format::plain;

    auto operator<=>(const parsed_request &) const = default;
};

/// Tells which client account a request comes from, by its `Authorization: Bearer <key>`; null: none.
const configuration::client_account *findAccount(const configuration::document &document,
                                                 const http::request &incoming);

/// Reads a `POST /v1/chat/completions` or a `/v1/services/<service>/<path>` request. Errors say what the
/// caller has to change.
outcome<parsed_request> parseRequest(const configuration::document &document,
                                     const configuration::client_account &account,
                                     const http::request &incoming);

} // namespace ivypier::gateway
