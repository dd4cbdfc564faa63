#include "console/console_request.h"

#include "base/secret.h"
#include "base/status_codes.h"

namespace ivypier::console {

namespace {

constexpr std::string_view cookie_name = "ivypier_session=";

} // namespace

std::string sessionIdentifier(const http::request &incoming)
{
    const std::string cookies = "; " + incoming.header("Cookie");
    const std::string prefix = "; " + std::string(cookie_name);
    const std::size_t found = cookies.find(prefix);
    if (found == std::string::npos)
        return {};
    const std::size_t start = found + prefix.size();
    return cookies.substr(start, cookies.find(';', start) - start);
}

std::string sessionCookie(const std::string &identifier, bool secure)
{
    return std::string(cookie_name) + identifier + "; Path=/; HttpOnly; SameSite=Strict"
        + (secure ? "; Secure" : "") + (identifier.empty() ? "; Max-Age=0" : "");
}

std::string formValue(const http::request &incoming, const std::string &name)
{
    for (const auto &[key, value] : http::parseForm(incoming.body)) {
        if (key == name)
            return value;
    }
    return {};
}

bool hasFormToken(const http::request &incoming, const std::string &expected)
{
    return !expected.empty() && equalInConstantTime(formValue(incoming, "form_token"), expected);
}

http::response htmlResponse(int status, std::string body)
{
    return {status,
            {{"Content-Type", "text/html; charset=utf-8"},
             {"Cache-Control", "no-store"},
             {"Content-Security-Policy",
              "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri "
              "'none'"},
             {"Referrer-Policy", "no-referrer"},
             {"X-Content-Type-Options", "nosniff"}},
            std::move(body)};
}

http::response redirect(const std::string &location)
{
    return {status_see_other, {{"Location", location}, {"Cache-Control", "no-store"}}, ""};
}

} // namespace ivypier::console
