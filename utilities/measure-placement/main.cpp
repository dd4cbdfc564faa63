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
constexpr double most_over_hindsight = 1.1;
constexpr double most_of_on_demand = 0.6;
constexpr double hour_seconds = 3600.0;
constexpr std::size_t slope_repeats = 3;
constexpr std::uint64_t drawn_traces = 6;

void row(const std::string &name, double value, const std::string &target)
{
    std::cout << std::left << std::setw(52) << name << std::right << std::setw(12) << std::fixed
              << std::setprecision(4) << value << "  " << target << '\n';
}

std::string verdict(double value, double most)
{
    std::ostringstream text;
    text << "target <= " << most << (value <= most ? ": met" : ": missed");
    return text.str();
}

void describe(const std::string &name, const measure::cost_result &result)
{
    row(name + ": cost", result.cost, "");
    row(name + ": time short of the demand", result.timeShort, "");
    row(name + ": time not protected from a domain's loss", result.timeUnprotected, "");
    row(name + ": VMs started", static_cast<double>(result.started), "");
    row(name + ": starts refused", static_cast<double>(result.refused), "");
}

/// The ratios over traces drawn from other seeds than the recorded one's, so that no setting fits one trace.
void measureSpread(std::uint64_t seed)
{
    double overHindsight = 0.0;
    double ofOnDemand = 0.0;
    double timeShort = 0.0;
    double timeUnprotected = 0.0;
    for (std::uint64_t drawn = 1; drawn <= drawn_traces; ++drawn) {
        const auto trace = measure::price_trace::draw(drawn);
        const auto planner = measure::runPlanner(trace, placement::cheapest_mix({}), seed);
        const auto onDemand
            = measure::runPlanner(trace, placement::cheapest_mix({.onDemandOnly = true}), seed);
        overHindsight = std::max(overHindsight, planner.cost / measure::hindsightCost(trace, hour_seconds));
        ofOnDemand = std::max(ofOnDemand, planner.cost / onDemand.cost);
        timeShort = std::max(timeShort, planner.timeShort);
        timeUnprotected = std::max(timeUnprotected, planner.timeUnprotected);
    }
    row("largest of 6 drawn traces: planner / hindsight", overHindsight,
        verdict(overHindsight, most_over_hindsight));
    row("largest of 6 drawn traces: planner / on-demand", ofOnDemand, verdict(ofOnDemand, most_of_on_demand));
    row("largest of 6 drawn traces: time short", timeShort, "");
    row("largest of 6 drawn traces: time not protected", timeUnprotected, "");
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
    const double hourly = measure::hindsightCost(trace.value(), hour_seconds);
    const double everyStep = measure::hindsightCost(trace.value(), trace.value().stepSeconds);
    describe("planner", planner);
    describe("always on-demand", onDemand);
    row("hindsight, a mix for each hour: cost", hourly, "");
    row("hindsight, a mix for each 5 minutes: cost", everyStep, "");
    row("planner / hindsight by the hour", planner.cost / hourly,
        verdict(planner.cost / hourly, most_over_hindsight));
    row("planner / hindsight by 5 minutes", planner.cost / everyStep,
        "(no target; a bound that no planner reaches)");
    row("planner / always on-demand", planner.cost / onDemand.cost,
        verdict(planner.cost / onDemand.cost, most_of_on_demand));
    measureSpread(seed);
    return 0;
}

int measureSlope()
{
    std::cout << "upstreams   part of a core   memory KB   calls/s   list KB\n";
    double sumX = 0.0;
    double sumY = 0.0;
    double sumXx = 0.0;
    double sumXy = 0.0;
    double count = 0.0;
    std::vector<std::pair<double, double>> points;
    for (const std::size_t upstreams : {10, 50, 200, 800, 2400, 4800}) {
        measure::slope_result best;
        for (std::size_t repeat = 0; repeat < slope_repeats; ++repeat) {
            const measure::slope_result result
                = measure::runSlope(upstreams, absl::GetFlag(FLAGS_seed) + repeat);
            if (repeat == 0 || result.processorPart < best.processorPart)
                best = result;
        }
        std::cout << std::setw(9) << upstreams << std::fixed << std::setprecision(5) << std::setw(17)
                  << best.processorPart << std::setprecision(1) << std::setw(12) << best.memoryBytes / 1024
                  << std::setw(10) << best.callsPerSecond << std::setw(10) << best.listBytes / 1024 << '\n';
        const auto x = static_cast<double>(upstreams);
        points.emplace_back(x, best.processorPart);
        sumX += x;
        sumY += best.processorPart;
        sumXx += x * x;
        sumXy += x * best.processorPart;
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
        return measureSlope();
    if (command == "draw") {
        std::cout << measure::price_trace::draw(absl::GetFlag(FLAGS_seed)).encode() << '\n';
        return 0;
    }
    std::cerr << "measure-placement: expected one of cost, slope, draw (see --help)\n";
    return exit_usage;
}
