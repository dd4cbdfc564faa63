#include "base/log_event.h"
#include "experiments.h"
#include "histograms.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, parameters, "", "TOML file that traces are generated from (tests/traces/*.toml)");
ABSL_FLAG(std::string, experiment, "all", "experiment to run, or all");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the trace and of every decision");
ABSL_FLAG(int, span_seconds, 300, "length of a generated trace in virtual time");
ABSL_FLAG(bool, json, false, "write the figures as JSON");
ABSL_FLAG(std::string, histograms, "", "file for the histograms of the typical run (CSV)");
ABSL_FLAG(std::string, write_trace, "", "write a generated trace to this file and stop");
ABSL_FLAG(double, rate, 10.0, "requests a second of a trace that is written");

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int writeGeneratedTrace(const ivypier::replay::trace_parameters &parameters)
{
    ivypier::seeded_random randomness(absl::GetFlag(FLAGS_seed));
    const auto requests
        = ivypier::replay::generateTrace(parameters, absl::GetFlag(FLAGS_rate),
                                         std::chrono::seconds(absl::GetFlag(FLAGS_span_seconds)), randomness);
    std::ofstream file(absl::GetFlag(FLAGS_write_trace));
    file << ivypier::replay::writeTrace(requests);
    return file.good() ? exit_ok : exit_failed;
}

int measure(const ivypier::replay::trace_parameters &parameters)
{
    ivypier::replay::experiments bench(parameters, absl::GetFlag(FLAGS_seed),
                                       std::chrono::seconds(absl::GetFlag(FLAGS_span_seconds)));
    const std::string wanted = absl::GetFlag(FLAGS_experiment);
    const auto names = wanted == "all" ? ivypier::replay::experiments::names() : std::vector{wanted};
    std::vector<ivypier::replay::figure> figures;
    for (const std::string &each : names) {
        const auto measured = bench.run(each);
        if (!measured) {
            std::cerr << "ivypier-replay: " << measured.error().message << '\n';
            return exit_usage;
        }
        figures.insert(figures.end(), measured.value().begin(), measured.value().end());
    }
    std::cout << (absl::GetFlag(FLAGS_json) ? jsonTable(figures) : textTable(figures));
    if (absl::GetFlag(FLAGS_histograms).empty())
        return exit_ok;
    std::ofstream file(absl::GetFlag(FLAGS_histograms));
    file << ivypier::replay::histogramTable(bench.typicalRun());
    return file.good() ? exit_ok : exit_failed;
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Replays traces in virtual time through the nodes' decisions.\n\n"
                                 "  ivypier-replay --parameters tests/traces/ghana-postal.toml");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("ivypier-replay ") + IVYPIER_VERSION + '\n'; };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    ivypier::configureLog("ivypier-replay", ivypier::log_level::warning);

    const std::string path = absl::GetFlag(FLAGS_parameters);
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        std::cerr << "ivypier-replay: can't read the parameters \"" << path << "\" (see --help)\n";
        return exit_usage;
    }
    const auto read = ivypier::replay::readTraceParameters(*text);
    if (const auto *faults = std::get_if<std::vector<ivypier::settings_error>>(&read)) {
        for (const ivypier::settings_error &each : *faults)
            std::cerr << ivypier::describe(each, path) << '\n';
        return exit_usage;
    }
    const auto &parameters = std::get<ivypier::replay::trace_parameters>(read);
    return absl::GetFlag(FLAGS_write_trace).empty() ? measure(parameters) : writeGeneratedTrace(parameters);
}
