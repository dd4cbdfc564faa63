#pragma once

#include "configuration/service_map_check.h"

namespace ivypier::configuration {

/// Rules for services.
struct service_checks
{
    /// Of two services with the same name, the second is never used.
    static void findEqualNames(const relay::service_map &content, const check_options &options,
                               check_report &report);

    static void findUnused(const relay::service_map &content, const check_options &options,
                           check_report &report);

    static void findMinOverMax(const relay::service_map &content, const check_options &options,
                               check_report &report);
};

} // namespace ivypier::configuration
