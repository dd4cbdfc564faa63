#pragma once

#include "configuration/service_map_check.h"

namespace ivypier::configuration {

/// Rules for routes: entries that can never match, and limits that contradict each other.
struct route_checks
{
    /// Callers name a host, so a route without one matches no call.
    static void findEmptyHosts(const relay::service_map &content, const check_options &options,
                               check_report &report);

    /// Of two routes with the same host and prefix, the second matches no call.
    static void findEqualPrefixes(const relay::service_map &content, const check_options &options,
                                  check_report &report);

    static void findUnknownServices(const relay::service_map &content, const check_options &options,
                                    check_report &report);

    static void findTimeoutsOverWait(const relay::service_map &content, const check_options &options,
                                     check_report &report);

    static void findTargetsOverTimeout(const relay::service_map &content, const check_options &options,
                                       check_report &report);

    /// Calls that may run once are not sent to another upstream after they may have run.
    static void findUselessAttempts(const relay::service_map &content, const check_options &options,
                                    check_report &report);
};

} // namespace ivypier::configuration
