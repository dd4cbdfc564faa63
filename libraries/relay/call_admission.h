#pragma once

#include "relay/call_environment.h"
#include "relay/route_table.h"

#include <string>

namespace ivypier::relay {

/// The result of checking a call's route, API key, deadline and quota.
struct call_admission
{
    const route *matched = nullptr; ///< null if no route matches
    const client_account *account = nullptr; ///< null if the call has none
    time_point deadline{};
    std::string service;
    double unitsTaken = 0.0; ///< of the account's quota, to be refunded if the call does not run
    int refusalStatus = 0; ///< 0: the call is admitted
    const char *reason = ""; ///< of the refusal
    duration returnAfter{}; ///< time after which a refused caller may be served; zero: none is known

    bool isAdmitted() const
    {
        return refusalStatus == 0;
    }

    /// Checks a call against the configuration in force, which is null before the first one.
    static call_admission decide(call_environment &environment, const route_table *table,
                                 const call &request);
};

} // namespace ivypier::relay
