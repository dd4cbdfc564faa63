#include "base/error.h"

namespace ivypier {

std::string_view name(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::interrupted:
        return "interrupted";
    case error_code::timed_out:
        return "timed_out";
    case error_code::refused:
        return "refused";
    case error_code::unauthenticated:
        return "unauthenticated";
    case error_code::too_large:
        return "too_large";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

} // namespace ivypier
