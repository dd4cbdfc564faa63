#pragma once

#include "configuration/check_report.h"
#include "relay/service_map.h"

#include <functional>
#include <vector>

namespace ivypier::configuration {

/// What a check needs to know beside the configuration.
struct check_options
{
    duration callerWait{}; ///< for which callers wait for an answer; zero: not known, not checked

    auto operator<=>(const check_options &) const = default;
};

/// A rule that a configuration may break.
struct check_rule
{
    const char *name;
    check_severity severity;
    std::function<void(const relay::service_map &, const check_options &, check_report &)> run;
};

/// Returns all rules, in the order in which they run.
const std::vector<check_rule> &checkRules();

/// Checks a configuration against all rules. Takes time in proportion to its size.
check_report checkServiceMap(const relay::service_map &content, const check_options &options);

} // namespace ivypier::configuration
