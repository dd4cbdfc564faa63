#pragma once

#include "http/field_list.h"

#include <string>

namespace ivypier::http {

/// The request line and the header fields of a request.
struct request_head
{
    std::string method;
    std::string target; ///< path and query as received, still percent-encoded
    field_list fields;

    bool operator==(const request_head &) const = default;

    /// Returns the target without its query.
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }

    /// Returns the target's query without the question mark, or an empty string if there is none.
    std::string_view query() const
    {
        const std::size_t mark = target.find('?');
        return mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    }
};

/// The status and the header fields of a response.
struct response_head
{
    int status = 0;
    field_list fields;
    bool endsWithConnection
        = false; ///< the body has no stated length, and ends when the connection is closed
    bool isOnReusedConnection = false; ///< it may be a late answer to an earlier request

    bool operator==(const response_head &) const = default;
};

} // namespace ivypier::http
