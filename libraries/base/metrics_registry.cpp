#include "base/metrics_registry.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <sstream>

namespace ivypier {

namespace {

namespace accumulators = boost::accumulators;
namespace histogram = boost::histogram;

constexpr unsigned bucket_count = 70;
constexpr double min_bucket_seconds = 1e-4;
constexpr double max_bucket_seconds = 1e3;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

std::string escapeLabelValue(const std::string &value)
{
    std::string result;
    for (const char character : value) {
        if (character == '\\' || character == '"')
            result += '\\';
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        result += character;
    }
    return result;
}

std::string formatLabels(const metric_labels &labels)
{
    std::string result;
    for (const auto &[key, value] : labels)
        result += (result.empty() ? "" : ",") + key + "=\"" + escapeLabelValue(value) + '"';
    return result;
}

std::string formatBracedLabels(const std::string &labels)
{
    return labels.empty() ? "" : '{' + labels + '}';
}

} // namespace

struct metrics_registry::distribution
{
    decltype(histogram::make_histogram(std::declval<log_axis>())) buckets
        = histogram::make_histogram(log_axis(bucket_count, min_bucket_seconds, max_bucket_seconds));
    accumulators::accumulator_set<double,
                                  accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>
        total;

    void write(std::ostream &out, const std::string &name, const std::string &labels) const
    {
        const std::string prefix = labels.empty() ? "" : labels + ',';
        double cumulativeCount = buckets.at(-1);
        for (const auto &bucket : histogram::indexed(buckets)) {
            cumulativeCount += *bucket;
            out << name << "_bucket{" << prefix << "le=\"" << bucket.bin().upper() << "\"} "
                << cumulativeCount << '\n';
        }
        out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << accumulators::count(total) << '\n';
        out << name << "_sum" << formatBracedLabels(labels) << ' ' << accumulators::sum(total) << '\n';
        out << name << "_count" << formatBracedLabels(labels) << ' ' << accumulators::count(total) << '\n';
    }

    double quantile(double fraction) const
    {
        const double targetCount = fraction * static_cast<double>(accumulators::count(total));
        double cumulativeCount = buckets.at(-1);
        if (targetCount <= 0.0)
            return 0.0;
        if (cumulativeCount >= targetCount)
            return min_bucket_seconds;
        for (const auto &bucket : histogram::indexed(buckets)) {
            cumulativeCount += *bucket;
            if (cumulativeCount >= targetCount)
                return bucket.bin().upper();
        }
        return max_bucket_seconds;
    }
};

metrics_registry::metrics_registry() = default;
metrics_registry::~metrics_registry() = default;

void metrics_registry::add(const std::string &name, const metric_labels &labels, double amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name][formatLabels(labels)] += amount;
}

void metrics_registry::set(const std::string &name, const metric_labels &labels, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name][formatLabels(labels)] = value;
}

void metrics_registry::observe(const std::string &name, const metric_labels &labels, double seconds)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_distributions[name][formatLabels(labels)];
    if (!entry)
        entry = std::make_unique<distribution>();
    entry->buckets(seconds);
    entry->total(seconds);
}

double metrics_registry::value(const std::string &name, const metric_labels &labels) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto *familiesByName : {&m_counters, &m_gauges}) {
        const auto family = familiesByName->find(name);
        if (family == familiesByName->end())
            continue;
        const auto found = family->second.find(formatLabels(labels));
        if (found != family->second.end())
            return found->second;
    }
    return 0.0;
}

double metrics_registry::total(const std::string &name, const std::string &label,
                               const std::string &value) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find(name);
    if (found == m_counters.end())
        return 0.0;
    const std::string labelPattern = ',' + formatLabels({{label, value}}) + ',';
    double sum = 0.0;
    for (const auto &[labels, count] : found->second)
        sum += (',' + labels + ',').find(labelPattern) != std::string::npos ? count : 0.0;
    return sum;
}

double metrics_registry::quantile(const std::string &name, const metric_labels &labels, double fraction) const
{
    const std::lock_guard lock(m_mutex);
    const auto family = m_distributions.find(name);
    if (family == m_distributions.end())
        return 0.0;
    const auto found = family->second.find(formatLabels(labels));
    return found == family->second.end() ? 0.0 : found->second->quantile(fraction);
}

std::string metrics_registry::exposition() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    const auto writeFamilies = [&out](const std::map<std::string, series> &families, const char *type) {
        for (const auto &[name, family] : families) {
            out << "# TYPE " << name << ' ' << type << '\n';
            for (const auto &[labels, value] : family)
                out << name << formatBracedLabels(labels) << ' ' << value << '\n';
        }
    };
    writeFamilies(m_counters, "counter");
    writeFamilies(m_gauges, "gauge");
    for (const auto &[name, family] : m_distributions) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, entry] : family)
            entry->write(out, name, labels);
    }
    return out.str();
}

} // namespace ivypier
