#include "cost_run.h"
#include "slope_run.h"

#include "base/log_event.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, trace, "tests/traces/placement-prices.json", "recorded demand, prices and reclaims");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the run, or of the trace to draw");

namespace {

using namespace ivypier;

constexpr int exit_usage = 2;
constexpr double max_hindsight_ratio = 1.1;
constexpr double max_on_demand_ratio = 0.6;
constexpr double seconds_per_hour = 3600.0;
constexpr std::size_t scaling_repeats = 3;
constexpr std::uint64_t generated_trace_count = 6;

void printRow(const std::string &name, double value, const std::string &target)
{
    std::cout << std::left << std::setw(52) << name << std::right << std::setw(12) << std::fixed
              << std::setprecision(4) << value << "  " << target << '\n';
}

std::string verdict(double value, double limit)
{
    std::ostringstream text;
    text << "target <= " << limit << (value <= limit ? ": met" : ": missed");
    return text.str();
}

void printCost(const std::string &name, const measure::cost_result &result)
{
    printRow(name + ": cost", result.cost, "");
    printRow(name + ": time short of the demand", result.underCapacityFraction, "");
    printRow(name + ": time not protected from a domain's loss", result.unprotectedFraction, "");
    printRow(name + ": VMs started", static_cast<double>(result.started), "");
    printRow(name + ": starts refused", static_cast<double>(result.refused), "");
}

/// Prints the worst ratios over several generated traces, to reveal settings that fit only the
/// recorded trace.
void measureGeneratedTraces(std::uint64_t seed)
{
    double worstHindsightRatio = 0.0;
    double worstOnDemandRatio = 0.0;
    double underCapacityFraction = 0.0;
    double unprotectedFraction = 0.0;
    for (std::uint64_t traceSeed = 1; traceSeed <= generated_trace_count; ++traceSeed) {
        const auto trace = measure::price_trace::generate(traceSeed);
        const auto planner = measure::runPlanner(trace, placement::cheapest_mix({}), seed);
        const auto onDemand
            = measure::runPlanner(trace, placement::cheapest_mix({.onDemandOnly = true}), seed);
        worstHindsightRatio
            = std::max(worstHindsightRatio, planner.cost / measure::hindsightCost(trace, seconds_per_hour));
        worstOnDemandRatio = std::max(worstOnDemandRatio, planner.cost / onDemand.cost);
        underCapacityFraction = std::max(underCapacityFraction, planner.underCapacityFraction);
        unprotectedFraction = std::max(unprotectedFraction, planner.unprotectedFraction);
    }
    printRow("largest of 6 drawn traces: planner / hindsight", worstHindsightRatio,
             verdict(worstHindsightRatio, max_hindsight_ratio));
    printRow("largest of 6 drawn traces: planner / on-demand", worstOnDemandRatio,
             verdict(worstOnDemandRatio, max_on_demand_ratio));
    printRow("largest of 6 drawn traces: time short", underCapacityFraction, "");
    printRow("largest of 6 drawn traces: time not protected", unprotectedFraction, "");
}

int measureCost()
{
    std::ostringstream text;
    text << std::ifstream(absl::GetFlag(FLAGS_trace)).rdbuf();
    const outcome<measure::price_trace> trace = measure::price_trace::decode(text.str());
    if (!trace) {
        std::cerr << "measure-placement: " << absl::GetFlag(FLAGS_trace) << ": " << trace.error().message
                  << '\n';
        return exit_usage;
    }
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const auto planner = measure::runPlanner(trace.value(), placement::cheapest_mix({}), seed);
    const auto onDemand
        = measure::runPlanner(trace.value(), placement::cheapest_mix({.onDemandOnly = true}), seed);
    const double hourlyHindsight = measure::hindsightCost(trace.value(), seconds_per_hour);
    const double perStepHindsight = measure::hindsightCost(trace.value(), trace.value().stepSeconds);
    printCost("planner", planner);
    printCost("always on-demand", onDemand);
    printRow("hindsight, a mix for each hour: cost", hourlyHindsight, "");
    printRow("hindsight, a mix for each 5 minutes: cost", perStepHindsight, "");
    printRow("planner / hindsight by the hour", planner.cost / hourlyHindsight,
             verdict(planner.cost / hourlyHindsight, max_hindsight_ratio));
    printRow("planner / hindsight by 5 minutes", planner.cost / perStepHindsight,
             "(no target; a bound that no planner reaches)");
    printRow("planner / always on-demand", planner.cost / onDemand.cost,
             verdict(planner.cost / onDemand.cost, max_on_demand_ratio));
    measureGeneratedTraces(seed);
    return 0;
}

int reportScaling()
{
    std::cout << "upstreams   part of a core   memory KB   calls/s   list KB\n";
    double sumX = 0.0;
    double sumY = 0.0;
    double sumXx = 0.0;
    double sumXy = 0.0;
    double count = 0.0;
    std::vector<std::pair<double, double>> points;
    for (const std::size_t upstreams : {10, 50, 200, 800, 2400, 4800}) {
        measure::scaling_result best;
        for (std::size_t repeat = 0; repeat < scaling_repeats; ++repeat) {
            const measure::scaling_result result
                = measure::measureScaling(upstreams, absl::GetFlag(FLAGS_seed) + repeat);
            if (repeat == 0 || result.cpuUtilization < best.cpuUtilization)
                best = result;
        }
        std::cout << std::setw(9) << upstreams << std::fixed << std::setprecision(5) << std::setw(17)
                  << best.cpuUtilization << std::setprecision(1) << std::setw(12) << best.memoryBytes / 1024
                  << std::setw(10) << best.callsPerSecond << std::setw(10) << best.vmListBytes / 1024 << '\n';
        const auto x = static_cast<double>(upstreams);
        points.emplace_back(x, best.cpuUtilization);
        sumX += x;
        sumY += best.cpuUtilization;
        sumXx += x * x;
        sumXy += x * best.cpuUtilization;
        count += 1.0;
    }
    const double slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    const double offset = (sumY - slope * sumX) / count;
    double error = 0.0;
    for (const auto &[x, y] : points)
        error = std::max(error, std::abs(y - offset - slope * x));
    std::cout << std::scientific << std::setprecision(3) << "fit: part of a core = " << offset << " + "
              << slope << " * upstreams; largest error " << error << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Measures placement in virtual time.\n\n"
        "  measure-placement cost     cost at the target on a recorded trace\n"
        "  measure-placement slope    processor time and memory by number of upstreams\n"
        "  measure-placement draw     draws a trace from --seed and prints it");
    const std::vector<char *> arguments = absl::ParseCommandLine(argc, argv);
    configureLog("measure-placement", log_level::error);
    const std::string command = arguments.size() == 2 ? arguments[1] : "";
    if (command == "cost")
        return measureCost();
    if (command == "slope")
        return reportScaling();
    if (command == "draw") {
        std::cout << measure::price_trace::generate(absl::GetFlag(FLAGS_seed)).encode() << '\n';
        return 0;
    }
    std::cerr << "measure-placement: expected one of cost, slope, draw (see --help)\n";
    return exit_usage;
}
