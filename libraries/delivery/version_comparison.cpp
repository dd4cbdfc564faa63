#include "delivery/version_comparison.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace ivypier::delivery {

namespace {

constexpr double false_alarm_probability = 1e-3;
/// Calls come in clumps of about three, and a clump may share its fate.
constexpr double clump_factor = 1.5;
/// Comparisons of each route at each look: four kinds of answers, three sets of intervals.
constexpr double comparisons = 12.0;
/// Calls of the other versions from which they can contradict a difference to their past.
constexpr std::uint64_t min_control = 5;
/// The rate of the target must be this many times that of the other versions at the same time.
constexpr double control_ratio = 2.0;
/// Without calls to the other versions the difference must be this much stronger and larger.
constexpr double blind_factor = 2.0;
constexpr double blind_excess = 0.2;
/// Answers of the other versions from which their usual times are known.
constexpr std::uint64_t min_known_times = 20;
/// A time counts as slow from this many buckets after the one that holds 80 of 100 times of the other
/// versions; two buckets are a factor of 2.
constexpr std::size_t slow_buckets = 2;
constexpr double usual_part = 0.8;
constexpr double nearly_all_part = 0.95;
constexpr double overdue_factor = 1.5;

struct event_counts
{
    double targetEvents = 0.0;
    double targetCalls = 0.0;
    double otherEvents = 0.0;
    double otherCalls = 0.0;

    double targetRate() const
    {
        return targetCalls > 0.0 ? targetEvents / targetCalls : 0.0;
    }
    double otherRate() const
    {
        return otherCalls > 0.0 ? otherEvents / otherCalls : 0.0;
    }
    event_counts &operator+=(const event_counts &other)
    {
        targetEvents += other.targetEvents;
        targetCalls += other.targetCalls;
        otherEvents += other.otherEvents;
        otherCalls += other.otherCalls;
        return *this;
    }
};

enum class event_kind { failure, slow, gap, overdue };

struct kind_rule
{
    event_kind kind;
    const char *name;
    double minExcess; ///< smallest difference of rates that makes a version bad
};

constexpr std::array<kind_rule, 4> kind_rules{{{event_kind::failure, "failures", 0.04},
                                               {event_kind::slow, "slow first events", 0.2},
                                               {event_kind::gap, "long gaps", 0.15},
                                               {event_kind::overdue, "calls without answer", 0.2}}};

/// Returns the relative entropy of two rates.
double divergence(double rate, double expected)
{
    const auto part = [](double left, double right) {
        return left <= 0.0 ? 0.0 : left * std::log(left / std::max(right, 1e-12));
    };
    return part(rate, expected) + part(1.0 - rate, 1.0 - expected);
}

/// Returns Hoeffding's bound for the number of events that fall to the target, if each falls to it as often
/// as a call does. `strata` are compared separately and then added.
double strengthOf(const std::vector<event_counts> &strata)
{
    double events = 0.0;
    double ofTarget = 0.0;
    double expected = 0.0;
    for (const event_counts &each : strata) {
        const double calls = each.targetCalls + each.otherCalls;
        const double both = each.targetEvents + each.otherEvents;
        // Without calls of both classes at the same time there is nothing to compare.
        if (both <= 0.0 || each.targetCalls <= 0.0 || each.otherCalls <= 0.0)
            continue;
        events += both;
        ofTarget += each.targetEvents;
        expected += both * each.targetCalls / calls;
    }
    if (events <= 0.0 || ofTarget <= expected)
        return 0.0;
    return events * divergence(ofTarget / events, expected / events);
}

/// Returns the first bucket until which `part` of the times lie.
std::size_t bucketOfPart(const evidence_totals &totals, double part)
{
    const double limit = part * static_cast<double>(totals.served());
    double sum = 0.0;
    for (std::size_t bucket = 0; bucket < time_bucket_count; ++bucket) {
        sum += static_cast<double>(totals.byTime[bucket]);
        if (sum >= limit)
            return bucket;
    }
    return time_bucket_count - 1;
}

event_counts countsOf(const route_evidence &evidence, event_kind kind, std::size_t slowAfter)
{
    const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
    const evidence_totals &target = evidence.target;
    const evidence_totals &other = evidence.other;
    switch (kind) {
    case event_kind::failure: {
        // A stream that broke was answered in an earlier interval.
        const double targetCalls = number(std::max(target.answered(), target.failures()));
        const double otherCalls = number(std::max(other.answered(), other.failures()));
        return {number(target.failures()), targetCalls, number(other.failures()), otherCalls};
    }
    case event_kind::slow:
        return {number(target.slowerThan(slowAfter)), number(target.served()),
                number(other.slowerThan(slowAfter)), number(other.served())};
    case event_kind::gap:
        return {number(target.gaps), number(std::max(target.served(), target.gaps)), number(other.gaps),
                number(std::max(other.served(), other.gaps))};
    case event_kind::overdue:
        break;
    }
    return {};
}

/// Compares the two versions on one route.
class route_comparison
{
public:
    route_comparison(const evidence_series &series, std::string route)
        : m_series(series)
        , m_route(std::move(route))
        , m_now(series.intervals().back().end)
    {
        for (const evidence_series::interval &each : series.intervals()) {
            const auto found = each.increments.find(m_route);
            m_increments.push_back(found == each.increments.end() ? route_evidence() : found->second);
            m_total.target += m_increments.back().target;
            m_total.other += m_increments.back().other;
        }
    }

    version_difference strongest() const
    {
        version_difference result;
        const bool areTimesKnown = m_total.other.served() >= min_known_times;
        for (const kind_rule &rule : kind_rules) {
            const bool needsTimes = rule.kind == event_kind::slow || rule.kind == event_kind::overdue;
            if (needsTimes && !areTimesKnown)
                continue;
            consider(result, rule, rule.kind == event_kind::overdue ? overdueDifference() : difference(rule));
        }
        return result;
    }

private:
    struct rated_strength
    {
        double strength = 0.0;
        event_counts counts;
    };

    void consider(version_difference &best, const kind_rule &rule, const rated_strength &found) const
    {
        const bool isLarge = found.counts.targetRate() >= found.counts.otherRate() + rule.minExcess;
        if (isLarge && found.strength > best.strength)
            best = {found.strength, m_route, rule.name, found.counts.targetRate(), found.counts.otherRate()};
    }

    /// Returns the index of the first interval that ends after a time.
    std::size_t indexAfter(time_point time) const
    {
        const auto &intervals = m_series.intervals();
        std::size_t index = intervals.size();
        while (index > 0 && intervals[index - 1].end > time)
            --index;
        return index;
    }

    rated_strength difference(const kind_rule &rule) const
    {
        const std::size_t slowAfter
            = std::min(bucketOfPart(m_total.other, usual_part) + slow_buckets, time_bucket_count - 2);
        std::vector<event_counts> strata;
        for (const route_evidence &each : m_increments)
            strata.push_back(countsOf(each, rule.kind, slowAfter));
        const auto sumFrom = [&](std::size_t from, std::size_t end) {
            event_counts sum;
            for (std::size_t index = from; index < end; ++index)
                sum += strata[index];
            return sum;
        };
        const std::size_t recent = indexAfter(m_now - recent_time);
        rated_strength best;
        const auto take = [&](double strength, const event_counts &counts) {
            const bool isLarge = counts.targetRate() >= counts.otherRate() + rule.minExcess;
            if (isLarge && strength > best.strength)
                best = {strength, counts};
        };
        // At the same time: from the start, and lately. The first shows small differences, the second a
        // version that became bad.
        take(strengthOf(strata), sumFrom(0, strata.size()));
        const std::size_t lately = indexAfter(m_now - 2 * recent_time);
        take(strengthOf({strata.begin() + static_cast<std::ptrdiff_t>(lately), strata.end()}),
             sumFrom(lately, strata.size()));
        // The newest answers of the target, against the past of the other versions.
        const event_counts newest = sumFrom(recent, strata.size());
        const event_counts past = sumFrom(indexAfter(m_now - history_time), strata.size());
        const event_counts mixed{newest.targetEvents, newest.targetCalls, past.otherEvents, past.otherCalls};
        if (newest.otherCalls >= static_cast<double>(min_control)) {
            const double control = (newest.otherEvents + 0.5) / (newest.otherCalls + 0.5);
            if (newest.targetRate() >= control_ratio * control)
                take(strengthOf({mixed}), mixed);
            return best;
        }
        const std::size_t middle = indexAfter(m_now - recent_time / 2);
        const bool lasts = sumFrom(recent, middle).targetRate() >= mixed.otherRate() + blind_excess
            && sumFrom(middle, strata.size()).targetRate() >= mixed.otherRate() + blind_excess;
        if (lasts)
            take(strengthOf({mixed}) / blind_factor, mixed);
        return best;
    }

    /// Compares the calls that were sent so long ago that nearly all calls to other versions have an answer
    /// by now, and have none themselves.
    rated_strength overdueDifference() const
    {
        const duration usual = timeBucketEnd(bucketOfPart(m_total.other, nearly_all_part));
        const duration lag = std::max(fromSeconds(seconds(usual) * overdue_factor), recent_time / 4);
        const std::size_t begin = indexAfter(m_now - lag - 2 * recent_time);
        const std::size_t end = indexAfter(m_now - lag);
        evidence_totals targetAnswered = m_total.target;
        evidence_totals otherAnswered = m_total.other;
        std::uint64_t targetSent = 0;
        std::uint64_t otherSent = 0;
        std::uint64_t targetLately = 0;
        std::uint64_t otherLately = 0;
        for (std::size_t index = 0; index < end; ++index) {
            targetSent += m_increments[index].target.started;
            otherSent += m_increments[index].other.started;
            if (index < begin)
                continue;
            targetLately += m_increments[index].target.started;
            otherLately += m_increments[index].other.started;
        }
        const auto missing = [](std::uint64_t sent, std::uint64_t answered, std::uint64_t lately) {
            return static_cast<double>(std::min(sent > answered ? sent - answered : 0, lately));
        };
        const event_counts counts{
            missing(targetSent, targetAnswered.answered(), targetLately), static_cast<double>(targetLately),
            missing(otherSent, otherAnswered.answered(), otherLately), static_cast<double>(otherLately)};
        return {strengthOf({counts}), counts};
    }

    const evidence_series &m_series;
    std::string m_route;
    time_point m_now;
    std::vector<route_evidence> m_increments;
    route_evidence m_total;
};

} // namespace

double requiredStrength(std::size_t looks, std::size_t routes)
{
    const double count = static_cast<double>(std::max<std::size_t>(looks, 1))
        * static_cast<double>(std::max<std::size_t>(routes, 1));
    return clump_factor * std::log(count * comparisons / false_alarm_probability);
}

version_difference compareVersions(const evidence_series &series)
{
    version_difference result;
    if (series.intervals().empty())
        return result;
    for (const auto &[route, evidence] : series.sum()) {
        const version_difference found = route_comparison(series, route).strongest();
        if (found.strength > result.strength)
            result = found;
    }
    return result;
}

} // namespace ivypier::delivery
