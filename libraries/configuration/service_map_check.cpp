#include "configuration/service_map_check.h"

#include "configuration/account_checks.h"
#include "configuration/route_checks.h"
#include "configuration/service_checks.h"

namespace ivypier::configuration {

const std::vector<check_rule> &checkRules()
{
    static const std::vector<check_rule> rules = {
        {"host_empty", check_severity::error, route_checks::findEmptyHosts},
        {"prefix_twice", check_severity::error, route_checks::findEqualPrefixes},
        {"service_unknown", check_severity::error, route_checks::findUnknownServices},
        {"timeout_over_wait", check_severity::error, route_checks::findTimeoutsOverWait},
        {"target_over_timeout", check_severity::error, route_checks::findTargetsOverTimeout},
        {"attempts_at_most_once", check_severity::error, route_checks::findUselessAttempts},
        {"service_twice", check_severity::error, service_checks::findEqualNames},
        {"service_unused", check_severity::warning, service_checks::findUnused},
        {"scaling_min_over_max", check_severity::error, service_checks::findMinOverMax},
        {"account_twice", check_severity::error, account_checks::findEqualNames},
        {"account_without_key", check_severity::warning, account_checks::findWithoutKeys},
        {"key_twice", check_severity::error, account_checks::findSharedKeys},
        {"burst_below_call", check_severity::error, account_checks::findBurstsBelowCall},
        {"limits_over_capacity", check_severity::warning, account_checks::findLimitsOverCapacity},
    };
    return rules;
}

check_report checkServiceMap(const relay::service_map &content, const check_options &options)
{
    check_report result;
    for (const check_rule &each : checkRules()) {
        result.begin(each.name, each.severity);
        each.run(content, options, result);
    }
    return result;
}

} // namespace ivypier::configuration
