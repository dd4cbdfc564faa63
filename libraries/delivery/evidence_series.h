#pragma once

#include "base/clock.h"
#include "delivery/evidence_totals.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace ivypier::delivery {

/// Totals of both version classes on one route.
struct route_evidence
{
    evidence_totals target;
    evidence_totals other;

    auto operator<=>(const route_evidence &) const = default;
};

/// The evidence on one rollout as running totals at successive times.
class evidence_series
{
public:
    struct entry
    {
        time_point at{};
        double share = 0.0; ///< share stated at that time
        std::map<std::string, route_evidence> routes;
    };

    /// Minimum time between two entries; what comes in between replaces the newest entry.
    static constexpr duration interval = std::chrono::milliseconds(200);
    /// Entries that are kept. Longer rollouts forget their first intervals.
    static constexpr std::size_t max_entries = 600;

    void append(entry newest);

    const std::deque<entry> &entries() const
    {
        return m_entries;
    }

private:
    std::deque<entry> m_entries;
};

} // namespace ivypier::delivery
