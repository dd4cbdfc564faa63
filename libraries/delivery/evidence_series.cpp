#include "delivery/evidence_series.h"

namespace ivypier::delivery {

namespace {

constexpr duration rate_window = std::chrono::seconds(3);

} // namespace

void addRoutes(evidence_series::routes &to, const evidence_series::routes &added)
{
    for (const auto &[route, evidence] : added) {
        route_evidence &sum = to[route];
        sum.target += evidence.target;
        sum.other += evidence.other;
    }
}

route_evidence sumOfRoutes(const evidence_series::routes &routes)
{
    route_evidence sum;
    for (const auto &[route, evidence] : routes) {
        sum.target += evidence.target;
        sum.other += evidence.other;
    }
    return sum;
}

void evidence_series::append(time_point now, const routes &totals)
{
    if (m_intervals.empty()) {
        m_intervals.push_back({now, now, totals});
        m_lastTotals = totals;
        return;
    }
    if (now - m_intervals.back().end < min_length)
        return;
    interval newest{m_intervals.back().end, now, totals};
    for (auto &[route, increment] : newest.increments) {
        const auto earlier = m_lastTotals.find(route);
        if (earlier == m_lastTotals.end())
            continue;
        increment.target -= earlier->second.target;
        increment.other -= earlier->second.other;
    }
    m_lastTotals = totals;
    m_intervals.push_back(std::move(newest));
    if (m_intervals.size() <= max_intervals)
        return;
    // The oldest intervals are of the same share, so that comparing their sum is as good.
    addRoutes(m_intervals[0].increments, m_intervals[1].increments);
    m_intervals[0].end = m_intervals[1].end;
    m_intervals.erase(m_intervals.begin() + 1);
}

evidence_series::routes evidence_series::sumSince(time_point since) const
{
    routes result;
    for (auto each = m_intervals.rbegin(); each != m_intervals.rend() && each->end > since; ++each)
        addRoutes(result, each->increments);
    return result;
}

evidence_series::routes evidence_series::sum() const
{
    return sumSince(time_point::min());
}

double evidence_series::callsPerSecond() const
{
    if (m_intervals.size() < 2)
        return 0.0;
    const time_point now = m_intervals.back().end;
    std::uint64_t calls = 0;
    time_point begin = now;
    for (std::size_t index = m_intervals.size() - 1; index > 0 && now - begin < rate_window; --index) {
        const route_evidence sum = sumOfRoutes(m_intervals[index].increments);
        calls += sum.target.started + sum.other.started;
        begin = m_intervals[index].begin;
    }
    return begin == now ? 0.0 : static_cast<double>(calls) / seconds(now - begin);
}

} // namespace ivypier::delivery
