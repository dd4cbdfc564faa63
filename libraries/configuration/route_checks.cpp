#include "configuration/route_checks.h"

#include <map>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace ivypier::configuration {

namespace {

std::string inMilliseconds(duration value)
{
    return std::to_string(milliseconds(value)) + " ms";
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace

void route_checks::findEmptyHosts(const relay::service_map &content, const check_options &,
                                  check_report &report)
{
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        if (content.routes[index].host.empty())
            report.add({checked_field::route_host, index},
                       "route " + quoted(content.routes[index].name) + " has no host, so no call matches it");
    }
}

void route_checks::findEqualPrefixes(const relay::service_map &content, const check_options &,
                                     check_report &report)
{
    std::map<std::pair<std::string_view, std::string_view>, std::size_t> first;
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        const relay::route &each = content.routes[index];
        const auto [found, isNew] = first.try_emplace({each.host, each.prefix}, index);
        if (!isNew)
            report.add({checked_field::route_prefix, index},
                       "route " + quoted(each.name) + " is never used: route "
                           + quoted(content.routes[found->second].name) + " has the prefix "
                           + quoted(each.prefix) + " of host " + quoted(each.host) + " already");
    }
}

void route_checks::findUnknownServices(const relay::service_map &content, const check_options &,
                                       check_report &report)
{
    std::unordered_set<std::string_view> known;
    for (const relay::service &each : content.services)
        known.insert(each.name);
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        const relay::route &each = content.routes[index];
        for (std::size_t target = 0; target < each.targets.size(); ++target) {
            if (!known.contains(each.targets[target].service))
                report.add({checked_field::route_target, index, target},
                           "route " + quoted(each.name) + " leads to service "
                               + quoted(each.targets[target].service) + ", which is not there");
        }
    }
}

void route_checks::findTimeoutsOverWait(const relay::service_map &content, const check_options &options,
                                        check_report &report)
{
    if (options.callerWait <= duration::zero())
        return;
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        const relay::route &each = content.routes[index];
        if (each.timeout > options.callerWait)
            report.add({checked_field::route_timeout, index},
                       "route " + quoted(each.name) + " has a timeout of " + inMilliseconds(each.timeout)
                           + ", and callers wait " + inMilliseconds(options.callerWait));
    }
}

void route_checks::findTargetsOverTimeout(const relay::service_map &content, const check_options &,
                                          check_report &report)
{
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        const relay::route &each = content.routes[index];
        if (each.timeout <= duration::zero())
            continue;
        const auto check = [&](checked_field field, const char *what, duration target) {
            if (target > each.timeout)
                report.add({field, index},
                           "route " + quoted(each.name) + " has a " + what + " of " + inMilliseconds(target)
                               + ", and its calls end after " + inMilliseconds(each.timeout));
        };
        check(checked_field::route_target_latency, "target", each.targetLatency);
        check(checked_field::route_target_gap, "target for gaps", each.targetGap);
    }
}

void route_checks::findUselessAttempts(const relay::service_map &content, const check_options &,
                                       check_report &report)
{
    for (std::size_t index = 0; index < content.routes.size(); ++index) {
        const relay::route &each = content.routes[index];
        if (each.kind == relay::call_kind::at_most_once && each.attempts > 1)
            report.add({checked_field::route_attempts, index},
                       "route " + quoted(each.name) + " allows " + std::to_string(each.attempts)
                           + " attempts, and its calls may run only once");
    }
}

} // namespace ivypier::configuration
