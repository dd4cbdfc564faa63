#pragma once

#include "http/message.h"

#include <string>

namespace ivypier::console {

/// Returns the session identifier from a request's cookie; empty if there is none.
std::string sessionIdentifier(const http::request &incoming);

/// Returns the `Set-Cookie` value that stores a session identifier; an empty identifier deletes the cookie.
std::string sessionCookie(const std::string &identifier, bool secure);

/// Returns the value of a form field in the request's body; empty if the field is missing.
std::string formValue(const http::request &incoming, const std::string &name);

/// Returns true if the request's form contains the session's form token.
bool hasFormToken(const http::request &incoming, const std::string &expected);

/// Returns an HTML response whose headers forbid scripts, framing and caching.
http::response htmlResponse(int status, std::string body);

/// Returns a 303 response, after which the browser loads `location` by GET.
http::response redirect(const std::string &location);

} // namespace ivypier::console
