#pragma once

#include "base/clock.h"
#include "delivery/evidence_totals.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace ivypier::delivery {

/// Evidence of both version classes on one route.
struct route_evidence
{
    evidence_totals target;
    evidence_totals other;

    auto operator<=>(const route_evidence &) const = default;
};

/// The evidence on one rollout in successive intervals, formed from running totals.
class evidence_series
{
public:
    using routes = std::map<std::string, route_evidence>;

    /// What came in since the interval before.
    struct interval
    {
        time_point begin{};
        time_point end{};
        routes increments;
    };

    /// Minimum length of an interval. A longer series merges its oldest intervals.
    static constexpr duration min_length = std::chrono::milliseconds(100);
    static constexpr std::size_t max_intervals = 300;

    /// Appends running totals. Those of the first call, which may be the work of an earlier holder of the
    /// duties, form an interval without a length.
    void append(time_point now, const routes &totals);

    const std::deque<interval> &intervals() const
    {
        return m_intervals;
    }

    /// Returns the sum of the intervals that end after `since`.
    routes sumSince(time_point since) const;
    routes sum() const;

    /// Returns the calls a second of both classes together, smoothed over a few seconds.
    double callsPerSecond() const;

private:
    routes m_lastTotals;
    std::deque<interval> m_intervals;
};

/// Adds evidence by route.
void addRoutes(evidence_series::routes &to, const evidence_series::routes &added);

/// Returns the sum over the routes.
route_evidence sumOfRoutes(const evidence_series::routes &routes);

} // namespace ivypier::delivery
