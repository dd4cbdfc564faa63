#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace ivypier::configuration {

enum class check_severity {
    warning, ///< legal, and probably not what was meant
    error, ///< something that the configuration says can never take effect
};

/// Fields of a service map that findings refer to.
enum class checked_field {
    route,
    route_host,
    route_prefix,
    route_timeout,
    route_target_latency,
    route_target_gap,
    route_attempts,
    route_target, ///< `item` is its place among the route's targets
    service,
    service_scaling_min,
    service_scaling_max,
    account,
    account_key, ///< `item` is its place among the account's keys
    account_rate,
    account_burst,
};

/// A field of the entry at a place in its list.
struct field_reference
{
    checked_field field = checked_field::route;
    std::size_t entry = 0;
    std::size_t item = 0;

    auto operator<=>(const field_reference &) const = default;
};

/// What a rule found at a field.
struct check_finding
{
    check_severity severity = check_severity::warning;
    std::string rule;
    field_reference at;
    std::string text;

    auto operator<=>(const check_finding &) const = default;
};

} // namespace ivypier::configuration
