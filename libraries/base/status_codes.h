#pragma once

namespace ivypier {

/// HTTP status codes (RFC 9110).
inline constexpr int status_switching_protocols = 101;
inline constexpr int status_ok = 200;
inline constexpr int status_created = 201;
inline constexpr int status_no_content = 204;
inline constexpr int status_see_other = 303;
inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_forbidden = 403;
inline constexpr int status_not_found = 404;
inline constexpr int status_method_not_allowed = 405;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_precondition_failed = 412;
inline constexpr int status_misdirected = 421;
inline constexpr int status_unprocessable = 422;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_internal_error = 500;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_service_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

/// Returns whether a number is of one of the five classes of status codes.
constexpr bool isResponseStatus(int status)
{
    constexpr int first = 100;
    constexpr int last = 599;
    return status >= first && status <= last;
}

/// Returns whether a status is that of an interim response (1xx), which another response follows.
constexpr bool isInterimStatus(int status)
{
    constexpr int lastInterim = 199;
    return isResponseStatus(status) && status <= lastInterim;
}

/// Returns whether callers take an answer with this status for the promise that their request was not
/// processed and never will be, so that they may send it again.
constexpr bool promisesNotProcessed(int status)
{
    return status == status_request_timeout || status == status_misdirected
        || status == status_too_many_requests || status == status_service_unavailable;
}

} // namespace ivypier
