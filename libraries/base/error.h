#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace ivypier {

/// What went wrong, as far as a caller of the failed operation has to tell cases apart.
enum class error_code {
    invalid_argument, ///< the input breaks its own rules
    not_found,
    conflict, ///< a conditional write met another version
    unavailable, ///< the other side can't be reached; the operation did not start there
    interrupted, ///< the connection broke after the operation may have started
    timed_out, ///< no answer in time; the operation may have happened
    refused, ///< the other side answered that it will not
    unauthenticated,
    too_large,
    internal,
};

/// The standard short name of an error code, as it stands in logs and JSON answers.
std::string_view name(error_code code);

/// An error as a value.
struct error
{
    error_code code = error_code::internal;
    std::string message;

    auto operator<=>(const error &) const = default;
};

} // namespace ivypier
