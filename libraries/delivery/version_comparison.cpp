#include "delivery/version_comparison.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

namespace ivypier::delivery {

namespace {

constexpr double false_alarm_probability = 1e-3;
/// Calls come in clumps of about three, and a clump may share its fate.
constexpr double clump_factor = 1.5;
/// Comparisons of each route at each look: five kinds of answers, three sets of intervals.
constexpr double comparisons = 15.0;
/// Calls of the other versions from which they can contradict a difference to their past, and the strength
/// that the difference to their newest calls must have then.
constexpr double min_control = 5.0;
constexpr double min_control_strength = 1.5;
/// The strength of it if it comes from a time that ended before the newest calls.
constexpr double min_earlier_strength = 4.0;
/// Gaps show about half a second after the first events of their streams. While the share rises, they belong
/// to the smaller share of that time.
constexpr std::size_t gap_lag_intervals = 5;
/// Without calls to the other versions the difference must be this much stronger and larger, and last longer
/// than the loss of a failure domain shows.
constexpr double blind_factor = 2.0;
constexpr double blind_excess = 0.2;
constexpr duration blind_time = std::chrono::milliseconds(1600);
/// Answers of the other versions from which their usual times are known.
constexpr std::uint64_t min_known_times = 20;
/// Answers of the target on a route from which its times are compared: the first calls to new upstreams find
/// no cached prompts there.
constexpr std::uint64_t min_compared_times = 15;
constexpr double usual_part = 0.8;
/// The other versions count as disturbed from this failure rate, relative to their past.
constexpr double disturbed_factor = 2.0;
constexpr double disturbed_excess = 0.03;
constexpr std::uint64_t min_disturbing_failures = 3;
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

/// A time counts as slow from some buckets after the one that holds 80 of 100 times of the other versions;
/// two buckets are a factor of 2, which fewer than 20 of 100 calls exceed at a version that is half as fast,
/// as one without cached prompts is at first.
struct kind_rule
{
    event_kind kind;
    const char *name;
    double minExcess; ///< smallest difference of rates that makes a version bad
    std::size_t slowBuckets = 0;
};

constexpr std::array<kind_rule, 5> kind_rules{{{event_kind::failure, "failures", 0.04},
                                               {event_kind::slow, "slow first events", 0.2, 2},
                                               {event_kind::slow, "very slow first events", 0.045, 3},
                                               {event_kind::gap, "long gaps", 0.08},
                                               {event_kind::overdue, "calls without answer", 0.1}}};

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

/// Counts of one kind of answer: for each interval one element for each route.
using interval_counts = std::vector<std::vector<event_counts>>;

struct rated_strength
{
    double strength = 0.0;
    event_counts counts;
};

/// Compares the two versions on a set of routes.
class route_comparison
{
public:
    route_comparison(const evidence_series &series, std::vector<std::string> routes, std::string label)
        : m_series(series)
        , m_areOthersDisturbed(areOthersDisturbed(series))
        , m_label(std::move(label))
        , m_now(series.intervals().back().end)
        , m_total(routes.size())
    {
        for (const evidence_series::interval &each : series.intervals()) {
            std::vector<route_evidence> &increments = m_increments.emplace_back();
            for (std::size_t index = 0; index < routes.size(); ++index) {
                const auto found = each.increments.find(routes[index]);
                increments.push_back(found == each.increments.end() ? route_evidence() : found->second);
                m_total[index].target += increments.back().target;
                m_total[index].other += increments.back().other;
            }
        }
    }

    version_difference strongest() const
    {
        version_difference result;
        for (const kind_rule &rule : kind_rules) {
            const rated_strength found
                = rule.kind == event_kind::overdue ? overdueDifference(rule) : difference(rule);
            if (found.strength > result.strength)
                result = {found.strength, m_label, rule.name, found.counts.targetRate(),
                          found.counts.otherRate()};
        }
        return result;
    }

private:
    /// Returns the index of the first interval that ends after a time.
    std::size_t indexAfter(time_point time) const
    {
        const auto &intervals = m_series.intervals();
        std::size_t index = intervals.size();
        while (index > 0 && intervals[index - 1].end > time)
            --index;
        return index;
    }

    interval_counts countsOfIntervals(const kind_rule &rule) const
    {
        std::vector<std::optional<std::size_t>> slowAfter;
        for (const route_evidence &each : m_total) {
            slowAfter.emplace_back();
            if (each.other.served() >= min_known_times && each.target.served() >= min_compared_times)
                slowAfter.back() = std::min(bucketOfPart(each.other, usual_part) + rule.slowBuckets,
                                            time_bucket_count - 2);
        }
        interval_counts result;
        for (std::size_t interval = 0; interval < m_increments.size(); ++interval) {
            const std::vector<route_evidence> &each = m_increments[interval];
            const std::vector<route_evidence> &earlier
                = m_increments[interval - std::min(interval, gap_lag_intervals)];
            std::vector<event_counts> &counts = result.emplace_back();
            for (std::size_t index = 0; index < each.size(); ++index) {
                if (rule.kind == event_kind::slow && !slowAfter[index])
                    continue;
                counts.push_back(countsOf(each[index], rule.kind, slowAfter[index].value_or(0)));
                if (rule.kind != event_kind::gap)
                    continue;
                counts.back().targetCalls = static_cast<double>(earlier[index].target.served());
                counts.back().otherCalls = static_cast<double>(earlier[index].other.served());
            }
        }
        return result;
    }

    rated_strength difference(const kind_rule &rule) const
    {
        const interval_counts counts = countsOfIntervals(rule);
        const auto strataFrom = [&](std::size_t from) {
            std::vector<event_counts> strata;
            for (std::size_t index = from; index < counts.size(); ++index)
                strata.insert(strata.end(), counts[index].begin(), counts[index].end());
            return strata;
        };
        const auto sumFrom = [&](std::size_t from, std::size_t end) {
            event_counts sum;
            for (std::size_t index = from; index < end; ++index) {
                for (const event_counts &each : counts[index])
                    sum += each;
            }
            return sum;
        };
        rated_strength best;
        const auto take = [&](double strength, const event_counts &compared) {
            const bool isLarge = compared.targetRate() >= compared.otherRate() + rule.minExcess;
            if (isLarge && strength > best.strength)
                best = {strength, compared};
        };
        // At the same time: from the start, and lately. The first shows small differences, the second a
        // version that became bad.
        take(strengthOf(strataFrom(0)), sumFrom(0, counts.size()));
        const std::size_t lately = indexAfter(m_now - 2 * recent_time);
        take(strengthOf(strataFrom(lately)), sumFrom(lately, counts.size()));
        // The newest answers of the target, against the past of the other versions.
        const std::size_t recent = indexAfter(m_now - recent_time);
        const event_counts newest = sumFrom(recent, counts.size());
        const event_counts past = sumFrom(indexAfter(m_now - history_time), counts.size());
        const event_counts mixed{newest.targetEvents, newest.targetCalls, past.otherEvents, past.otherCalls};
        // If the other versions have changed too, their past tells nothing.
        if (m_areOthersDisturbed)
            return best;
        const std::size_t middle = indexAfter(m_now - recent_time / 2);
        const bool hasControl = sumFrom(middle, counts.size()).otherCalls >= min_control;
        const double support = strengthOf(strataFrom(lately));
        if (support >= (hasControl ? min_control_strength : min_earlier_strength)) {
            take(strengthOf({mixed}), mixed);
            return best;
        }
        if (hasControl)
            return best;
        const std::size_t blindFrom = indexAfter(m_now - blind_time);
        const std::size_t blindMiddle = indexAfter(m_now - blind_time / 2);
        const bool lasts = sumFrom(blindFrom, blindMiddle).targetRate() >= mixed.otherRate() + blind_excess
            && sumFrom(blindMiddle, counts.size()).targetRate() >= mixed.otherRate() + blind_excess;
        if (lasts)
            take(strengthOf({mixed}) / blind_factor, mixed);
        return best;
    }

    /// Compares the calls that were sent so long ago that nearly all calls to other versions have an answer
    /// by now, and have none themselves.
    rated_strength overdueDifference(const kind_rule &rule) const
    {
        const rated_strength lately = overdueDifference(rule, 2 * recent_time);
        const rated_strength always = overdueDifference(rule, m_now - m_series.intervals().front().end);
        return lately.strength > always.strength ? lately : always;
    }

    rated_strength overdueDifference(const kind_rule &rule, duration window) const
    {
        std::vector<event_counts> strata;
        event_counts sum;
        for (std::size_t route = 0; route < m_total.size(); ++route) {
            if (m_total[route].other.served() < min_known_times)
                continue;
            strata.push_back(overdueOf(route, window));
            sum += strata.back();
        }
        if (sum.targetRate() < sum.otherRate() + rule.minExcess)
            return {};
        return {strengthOf(strata), sum};
    }

    event_counts overdueOf(std::size_t route, duration window) const
    {
        const duration usual = timeBucketEnd(bucketOfPart(m_total[route].other, nearly_all_part));
        const duration lag = std::max(fromSeconds(seconds(usual) * overdue_factor), recent_time / 4);
        const std::size_t begin = indexAfter(m_now - lag - window);
        const std::size_t end = indexAfter(m_now - lag);
        route_evidence before;
        route_evidence lately;
        for (std::size_t index = 0; index < end; ++index) {
            route_evidence &sum = index < begin ? before : lately;
            sum.target += m_increments[index][route].target;
            sum.other += m_increments[index][route].other;
        }
        const auto missing = [](std::uint64_t earlier, std::uint64_t late, std::uint64_t answered) {
            const std::uint64_t sent = earlier + late;
            return static_cast<double>(std::min(sent > answered ? sent - answered : 0, late));
        };
        return {missing(before.target.started, lately.target.started, m_total[route].target.answered()),
                static_cast<double>(lately.target.started),
                missing(before.other.started, lately.other.started, m_total[route].other.answered()),
                static_cast<double>(lately.other.started)};
    }

    const evidence_series &m_series;
    bool m_areOthersDisturbed;
    std::string m_label;
    time_point m_now;
    std::vector<std::vector<route_evidence>> m_increments; ///< by interval and route
    std::vector<route_evidence> m_total; ///< by route
};

} // namespace

double requiredStrength(std::size_t looks, std::size_t routes)
{
    const double count
        = static_cast<double>(std::max<std::size_t>(looks, 1)) * static_cast<double>(routes + 1);
    return clump_factor * std::log(count * comparisons / false_alarm_probability);
}

bool areOthersDisturbed(const evidence_series &series)
{
    if (series.intervals().empty())
        return false;
    const evidence_totals sum = sumOfRoutes(series.sum()).other;
    const auto rate = [](const evidence_totals &totals) {
        return static_cast<double>(totals.failures()) / (static_cast<double>(totals.answered()) + 1.0);
    };
    // The short window shows a disturbance that began when the share had just risen.
    for (const duration window : {recent_time, recent_time / 3}) {
        const evidence_totals newest
            = sumOfRoutes(series.sumSince(series.intervals().back().end - window)).other;
        evidence_totals past = sum;
        past -= newest;
        if (newest.failures() >= min_disturbing_failures
            && rate(newest) >= disturbed_factor * rate(past) + disturbed_excess)
            return true;
    }
    return false;
}

version_difference compareVersions(const evidence_series &series)
{
    version_difference result;
    if (series.intervals().empty())
        return result;
    std::vector<std::string> routes;
    for (const auto &[route, evidence] : series.sum())
        routes.push_back(route);
    const auto consider = [&](const std::vector<std::string> &compared, const std::string &label) {
        const version_difference found = route_comparison(series, compared, label).strongest();
        if (found.strength > result.strength)
            result = found;
    };
    for (const std::string &route : routes)
        consider({route}, route);
    // What is bad on all routes shows earlier on all together.
    if (routes.size() > 1)
        consider(routes, "*");
    return result;
}

} // namespace ivypier::delivery
