#include "base/metrics_registry.h"

#include <catch2/catch.hpp>

using namespace ivypier;

TEST_CASE("counters accumulate and gauges are replaced, with one series per set of labels")
{
    metrics_registry metrics;
    metrics.add("requests_total", {{"account", "a"}});
    metrics.add("requests_total", {{"account", "a"}}, 2.0);
    metrics.add("requests_total", {{"account", "b"}});
    metrics.set("members", {}, 3.0);
    metrics.set("members", {}, 2.0);
    CHECK(metrics.value("requests_total", {{"account", "a"}}) == 3.0);
    CHECK(metrics.value("members", {}) == 2.0);
    CHECK(
        metrics.exposition()
        == "# TYPE requests_total counter\nrequests_total{account=\"a\"} 3\nrequests_total{account=\"b\"} 1\n"
           "# TYPE members gauge\nmembers 2\n");
}

TEST_CASE("histogram buckets are cumulative up to the count and contain the quantiles")
{
    metrics_registry metrics;
    for (int index = 1; index <= 100; ++index)
        metrics.observe("latency_seconds", {}, index / 100.0);
    CHECK(metrics.quantile("latency_seconds", {}, 0.95) >= 0.95);
    CHECK(metrics.quantile("latency_seconds", {}, 0.95)
          <= 0.95 * 1.27); // a bucket is a tenth of a decade wide
    const std::string text = metrics.exposition();
    CHECK(text.find("latency_seconds_bucket{le=\"+Inf\"} 100\n") != std::string::npos);
    CHECK(text.find("latency_seconds_count 100\n") != std::string::npos);
}

TEST_CASE("label values are escaped")
{
    metrics_registry metrics;
    metrics.add("x", {{"l", "a\"b\\c\nd"}});
    CHECK(metrics.exposition() == "# TYPE x counter\nx{l=\"a\\\"b\\\\c\\nd\"} 1\n");
}
