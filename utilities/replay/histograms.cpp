#include "histograms.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace ivypier::replay {

namespace {

constexpr unsigned bucket_count = 70;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 1e3;

void writeBuckets(std::ostream &out, const std::string &labels, const std::vector<double> &values)
{
    namespace histogram = boost::histogram;
    auto counts = histogram::make_histogram(histogram::axis::regular<double, histogram::axis::transform::log>(
        bucket_count, min_seconds, max_seconds));
    for (const double each : values)
        counts(each);
    for (const auto &bucket : histogram::indexed(counts)) {
        if (*bucket > 0.0)
            out << labels << ',' << bucket.bin().upper() << ',' << *bucket << '\n';
    }
}

} // namespace

std::string histogramTable(const replay_result &result)
{
    std::ostringstream out;
    out << "account,class,measure,upper_seconds,count\n";
    for (const auto &[key, counts] : result.byAccountAndClass) {
        const std::string labels = key.first + ',' + key.second + ',';
        writeBuckets(out, labels + "first_token", counts.firstTokenSeconds);
        writeBuckets(out, labels + "between_tokens", counts.interTokenSeconds);
    }
    return out.str();
}

} // namespace ivypier::replay
