#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivypier::http {

/// Orders header names without regard to case (RFC 9110, section 5.1).
struct header_name_less
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using header_map = std::map<std::string, std::string, header_name_less>;

/// A field of a form: its name and its value, decoded.
using form_field = std::pair<std::string, std::string>;

/// The fields of an application/x-www-form-urlencoded text, in their order (URL Living Standard,
/// section 5.1).
std::vector<form_field> parseForm(std::string_view text);

/// A request, whole.
struct request
{
    std::string method = "GET";
    std::string path = "/"; ///< percent-encoded, without the query
    std::string query; ///< without the question mark
    header_map headers;
    std::string body;

    /// A header's value; empty when it is not there.
    std::string header(std::string_view name) const;

    /// A parameter of the query, decoded; empty when it is not there.
    std::string parameter(std::string_view name) const;

    bool operator==(const request &) const = default;
};

/// A response, whole.
struct response
{
    int status = 200;
    header_map headers;
    std::string body;

    std::string header(std::string_view name) const;

    bool operator==(const response &) const = default;
};

/// A JSON response.
response jsonResponse(int status, std::string body);

} // namespace ivypier::http
