#pragma once

#include "configuration/service_map_check.h"

namespace ivypier::configuration {

/// Rules for client accounts.
struct account_checks
{
    /// Limits of accounts may add up to more than upstreams run, as accounts seldom use them at a time. Above
    /// this ratio no account can rely on its limit.
    static constexpr double max_limit_ratio = 10.0;

    static void findEqualNames(const relay::service_map &content, const check_options &options,
                               check_report &report);

    static void findWithoutKeys(const relay::service_map &content, const check_options &options,
                                check_report &report);

    /// A key belongs to the first account that has it.
    static void findSharedKeys(const relay::service_map &content, const check_options &options,
                               check_report &report);

    static void findBurstsBelowCall(const relay::service_map &content, const check_options &options,
                                    check_report &report);

    /// Compares the sum of the limits of accounts that count calls with what upstreams run if each call takes
    /// as long as its target. Without a scaling maximum, failure domains and targets nothing is compared.
    static void findLimitsOverCapacity(const relay::service_map &content, const check_options &options,
                                       check_report &report);
};

} // namespace ivypier::configuration
