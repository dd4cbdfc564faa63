#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace ivypier {

/// Error categories that callers of an operation may have to handle differently.
enum class error_code {
    invalid_argument, ///< the input is malformed or out of range
    not_found,
    conflict, ///< a conditional write found a different version
    unavailable, ///< the peer can't be reached; the operation did not start there
    interrupted, ///< the connection broke after the operation may have started
    timed_out, ///< no response before the deadline; the operation may have run
    refused, ///< the peer answered that it rejects the operation
    unauthenticated,
    too_large,
    internal,
};

/// Returns the name of an error code as used in logs and JSON responses.
std::string_view name(error_code code);

/// An error code with a message; returned by value, never thrown.
struct error
{
    error_code code = error_code::internal;
    std::string message;

    auto operator<=>(const error &) const = default;
};

} // namespace ivypier
