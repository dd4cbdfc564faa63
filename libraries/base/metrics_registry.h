#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace ivypier {

/// Label names and values of one series, e.g. `{{"account", "kumasi"}, {"class", "counter"}}`.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and histograms by name and labels, written in the Prometheus text format. Safe to use
/// from any thread. Histograms hold seconds in buckets of a tenth of a decade from 0.1 ms to 1,000 s
/// (Boost.Histogram); mean and count come from Boost.Accumulators.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    /// Adds `amount` (at least 0) to a counter.
    void add(const std::string &name, const metric_labels &labels, double amount = 1.0);

    /// Sets a gauge.
    void set(const std::string &name, const metric_labels &labels, double value);

    /// Records one duration, in seconds.
    void observe(const std::string &name, const metric_labels &labels, double seconds);

    /// The value of a counter or gauge; 0 when there is none.
    double value(const std::string &name, const metric_labels &labels) const;

    /// The sum of a counter's series that have this label.
    double total(const std::string &name, const std::string &label, const std::string &value) const;

    /// The upper edge of the bucket that holds the given quantile, in seconds; 0 with no observations.
    double quantile(const std::string &name, const metric_labels &labels, double fraction) const;

    /// Everything, in the Prometheus text exposition format, version 0.0.4.
    std::string exposition() const;

private:
    struct distribution;
    using series = std::map<std::string, double>;
    using distributions = std::map<std::string, std::unique_ptr<distribution>>;

    mutable std::mutex m_mutex;
    std::map<std::string, series> m_counters;
    std::map<std::string, series> m_gauges;
    std::map<std::string, distributions> m_distributions;
};

} // namespace ivypier
