#include "delivery/evidence_totals.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ivypier::delivery {

namespace {

constexpr double first_bucket_seconds = 0.016;

std::uint64_t difference(std::uint64_t now, std::uint64_t earlier)
{
    return now > earlier ? now - earlier : 0;
}

} // namespace

std::size_t timeBucketOf(duration time)
{
    const double steps = 2.0 * std::log2(std::max(seconds(time), 1e-6) / first_bucket_seconds);
    return static_cast<std::size_t>(
        std::clamp(std::ceil(steps), 0.0, static_cast<double>(time_bucket_count - 1)));
}

duration timeBucketEnd(std::size_t bucket)
{
    return fromSeconds(first_bucket_seconds * std::exp2(static_cast<double>(bucket) / 2.0));
}

std::uint64_t evidence_totals::served() const
{
    return std::accumulate(byTime.begin(), byTime.end(), std::uint64_t(0));
}

std::uint64_t evidence_totals::slowerThan(std::size_t bucket) const
{
    std::uint64_t sum = 0;
    for (std::size_t index = bucket + 1; index < byTime.size(); ++index)
        sum += byTime[index];
    return sum;
}

evidence_totals &evidence_totals::operator+=(const evidence_totals &other)
{
    started += other.started;
    failed += other.failed;
    broken += other.broken;
    gaps += other.gaps;
    for (std::size_t index = 0; index < byTime.size(); ++index)
        byTime[index] += other.byTime[index];
    return *this;
}

evidence_totals &evidence_totals::operator-=(const evidence_totals &earlier)
{
    started = difference(started, earlier.started);
    failed = difference(failed, earlier.failed);
    broken = difference(broken, earlier.broken);
    gaps = difference(gaps, earlier.gaps);
    for (std::size_t index = 0; index < byTime.size(); ++index)
        byTime[index] = difference(byTime[index], earlier.byTime[index]);
    return *this;
}

} // namespace ivypier::delivery
