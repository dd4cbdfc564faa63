#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ivypier::cloud {

/// Calls of each client account that began to run in one window of the time of day.
struct usage_report
{
    std::int64_t window = 0; ///< number of the window since 1970
    std::map<std::string, std::uint64_t> counts;

    auto operator<=>(const usage_report &) const = default;
};

/// How many upstreams of one kind a service shall have in a failure domain.
struct capacity_order
{
    std::string service;
    std::string failureDomain;
    bool reclaimable = false;
    std::uint32_t count = 0;

    auto operator<=>(const capacity_order &) const = default;
};

/// Calls to the platform that one node at a time makes. Each bears the fencing number of the duty's holder;
/// the platform refuses a number lower than one it has seen. A call without an answer may be carried out
/// later. Answers come as tasks of the caller's scheduler.
class fenced_operations
{
public:
    using completion = std::function<void(outcome<void>)>;

    virtual ~fenced_operations() = default;

    /// Repeating a report with the same counts is harmless.
    virtual void reportUsage(const usage_report &report, std::uint64_t fencing, completion done) = 0;

    /// `conflict` when a higher fencing number was seen or no such VM is to be had.
    virtual void orderCapacity(const capacity_order &order, std::uint64_t fencing, completion done) = 0;
};

} // namespace ivypier::cloud
