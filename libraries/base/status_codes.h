#pragma once

namespace ivypier {

/// HTTP status codes (RFC 9110).
inline constexpr int status_ok = 200;
inline constexpr int status_created = 201;
inline constexpr int status_no_content = 204;
inline constexpr int status_see_other = 303;
inline constexpr int status_bad_request = 400;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_forbidden = 403;
inline constexpr int status_not_found = 404;
inline constexpr int status_method_not_allowed = 405;
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

} // namespace ivypier
