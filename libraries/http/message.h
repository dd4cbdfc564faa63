#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivypier::http {

/// Orders header names ignoring case (RFC 9110, section 5.1).
struct header_name_less
{
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
};

using header_map = std::map<std::string, std::string, header_name_less>;

/// The decoded name and value of a form field.
using form_field = std::pair<std::string, std::string>;

/// Parses application/x-www-form-urlencoded text and returns its fields in order (URL Living Standard,
/// section 5.1). Fields without `=` are skipped, and invalid escapes are kept unchanged.
std::vector<form_field> parseForm(std::string_view text);

/// A complete request.
struct request
{
    std::string method = "GET";
    std::string path = "/"; ///< percent-encoded, without the query
    std::string query; ///< without the question mark
    header_map headers;
    std::string body;

    /// Returns the value of a header, or an empty string if there is none.
    std::string header(std::string_view name) const;

    /// Returns the decoded value of a query parameter, or an empty string if there is none.
    std::string parameter(std::string_view name) const;

    bool operator==(const request &) const = default;
};

/// A complete response.
struct response
{
    int status = 200;
    header_map headers;
    std::string body;

    std::string header(std::string_view name) const;

    bool operator==(const response &) const = default;
};

/// Returns a response with the content type application/json.
response jsonResponse(int status, std::string body);

} // namespace ivypier::http
