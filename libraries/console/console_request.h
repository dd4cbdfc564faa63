#pragma once

#include "http/message.h"

#include <string>

namespace ivypier::console {

/// The session's identifier in a request's cookie; empty when there is none.
std::string sessionIdentifier(const http::request &incoming);

/// The cookie that holds a session's identifier; an empty identifier removes it.
std::string sessionCookie(const std::string &identifier, bool secure);

/// The value of a form's field; empty when it is not there.
std::string formValue(const http::request &incoming, const std::string &name);

/// True when a request holds the session's form token.
bool hasFormToken(const http::request &incoming, const std::string &expected);

/// An HTML page with the headers that keep scripts, frames and caches out.
http::response htmlResponse(int status, std::string body);

/// Sends the browser to another page after a POST.
http::response redirect(const std::string &location);

} // namespace ivypier::console
