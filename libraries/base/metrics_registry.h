#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace ivypier {

/// Label names and values of one time series, e.g. `{{"account", "kumasi"}, {"class", "counter"}}`.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Holds counters, gauges and histograms by name and labels and exports them in the Prometheus text format.
/// Thread-safe. Histograms have logarithmic buckets, ten per decade, from 0.1 ms to 1,000 s
/// (Boost.Histogram); their sum and count come from Boost.Accumulators.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    /// Increases a counter by `amount`, which must not be negative.
    void add(const std::string &name, const metric_labels &labels, double amount = 1.0);

    /// Sets a gauge.
    void set(const std::string &name, const metric_labels &labels, double value);

    /// Records one duration in a histogram.
    void observe(const std::string &name, const metric_labels &labels, double seconds);

    /// Returns the value of a counter or gauge, or 0 if it doesn't exist.
    double value(const std::string &name, const metric_labels &labels) const;

    /// Returns the sum of all series of a counter that have this label value.
    double total(const std::string &name, const std::string &label, const std::string &value) const;

    /// Returns the upper bound, in seconds, of the bucket that contains the given quantile, or 0 without
    /// observations.
    double quantile(const std::string &name, const metric_labels &labels, double fraction) const;

    /// Returns all metrics in the Prometheus text exposition format, version 0.0.4.
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
