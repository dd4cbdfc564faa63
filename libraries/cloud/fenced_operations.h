#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ivypier::cloud {

/// Number of calls per client account that started to run in one time window.
struct usage_report
{
    std::int64_t window = 0; ///< index of the window, counted from 1970
    std::map<std::string, std::uint64_t> counts;

    auto operator<=>(const usage_report &) const = default;
};

/// Desired number of upstreams of one kind for a service in a failure domain.
struct capacity_order
{
    std::string service;
    std::string failureDomain;
    bool reclaimable = false;
    std::uint32_t count = 0;

    auto operator<=>(const capacity_order &) const = default;
};

/// Platform operations that only the current lease holder of a duty may perform. Each call carries the
/// holder's fencing token, and the platform rejects a token lower than the highest it has seen. A call that
/// got no response may still take effect later. Completions run as tasks of the caller's scheduler.
class fenced_operations
{
public:
    using completion = std::function<void(outcome<void>)>;

    virtual ~fenced_operations() = default;

    /// Reports usage. Idempotent: repeating a report with the same counts has no further effect.
    virtual void reportUsage(const usage_report &report, std::uint64_t fencingToken, completion done) = 0;

    /// Orders capacity. Fails with `conflict` when the platform has seen a higher fencing token or has no
    /// such VM available.
    virtual void orderCapacity(const capacity_order &order, std::uint64_t fencingToken, completion done) = 0;
};

} // namespace ivypier::cloud
