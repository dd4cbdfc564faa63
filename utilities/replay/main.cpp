#include "base/log_event.h"
#include "experiments.h"
#include "histograms.h"
#include "live_comparison.h"
#include "program/command_line.h"
#include "virtual_replay.h"

#include <absl/flags/flag.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, parameters, "", "TOML file that traces are generated from (tests/traces/*.toml)");
ABSL_FLAG(std::string, trace, "",
          "recorded trace to replay as it is (tests/traces/*.jsonl), in place of experiments");
ABSL_FLAG(std::string, experiment, "all", "experiment to run, or all");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the trace and of every decision");
ABSL_FLAG(int, span_seconds, 300, "length of a generated trace in virtual time");
ABSL_FLAG(bool, json, false, "write the figures as JSON");
ABSL_FLAG(std::string, histograms, "", "file for the histograms of the typical run (CSV)");
ABSL_FLAG(std::string, write_trace, "", "write a generated trace to this file and stop");
ABSL_FLAG(double, rate, 10.0, "requests a second of a trace that is written");
ABSL_FLAG(std::string, live_node, "", "node to measure, against the same calls to --live_upstream");
ABSL_FLAG(std::string, live_upstream, "", "plain service behind that node");
ABSL_FLAG(std::string, live_service, "rates", "its name at the node");
ABSL_FLAG(std::string, live_path, "/quote", "path of the calls");
ABSL_FLAG(std::string, live_body, "{\"kilograms\": 2}", "body of the calls");
ABSL_FLAG(std::string, live_key, "", "account key of the calls");
ABSL_FLAG(unsigned, live_count, 1000, "pairs of calls");

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

int replayRecorded(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    const auto requests = ivypier::replay::readTrace(text.value_or("not readable"));
    if (!requests) {
        std::cerr << "ivypier-replay: " << path << ": " << requests.error().message << '\n';
        return exit_usage;
    }
    ivypier::replay::replay_plan plan;
    plan.seed = absl::GetFlag(FLAGS_seed);
    plan.measuredUntil = std::chrono::hours(24);
    const auto results = ivypier::replay::summarizeRecordedRun(
        path, ivypier::replay::virtual_replay(plan, requests.value()).run());
    std::cout << (absl::GetFlag(FLAGS_json) ? jsonTable(results) : textTable(results));
    return exit_ok;
}

int runLiveComparison()
{
    ivypier::replay::live_comparison comparison;
    const auto upstream = ivypier::endpoint::parse(absl::GetFlag(FLAGS_live_upstream));
    const auto node = ivypier::endpoint::parse(absl::GetFlag(FLAGS_live_node));
    if (!upstream || !node) {
        std::cerr << "ivypier-replay: --live_upstream and --live_node are needed, both as host:port\n";
        return exit_usage;
    }
    comparison.upstream = upstream.value();
    comparison.node = node.value();
    comparison.service = absl::GetFlag(FLAGS_live_service);
    comparison.path = absl::GetFlag(FLAGS_live_path);
    comparison.body = absl::GetFlag(FLAGS_live_body);
    comparison.accountKey = absl::GetFlag(FLAGS_live_key);
    comparison.count = absl::GetFlag(FLAGS_live_count);
    const auto results = ivypier::replay::compareLiveCalls(comparison);
    if (!results) {
        std::cerr << "ivypier-replay: " << results.error().message << '\n';
        return exit_failed;
    }
    std::cout << (absl::GetFlag(FLAGS_json) ? jsonTable(results.value()) : textTable(results.value()));
    return exit_ok;
}

int measure(const ivypier::replay::trace_parameters &parameters)
{
    ivypier::replay::experiments suite(parameters, absl::GetFlag(FLAGS_seed),
                                       std::chrono::seconds(absl::GetFlag(FLAGS_span_seconds)));
    const std::string selected = absl::GetFlag(FLAGS_experiment);
    const auto names = selected == "all" ? ivypier::replay::experiments::names() : std::vector{selected};
    std::vector<ivypier::replay::benchmark_result> results;
    for (const std::string &each : names) {
        const auto measured = suite.run(each);
        if (!measured) {
            std::cerr << "ivypier-replay: " << measured.error().message << '\n';
            return exit_usage;
        }
        results.insert(results.end(), measured.value().begin(), measured.value().end());
    }
    std::cout << (absl::GetFlag(FLAGS_json) ? jsonTable(results) : textTable(results));
    if (absl::GetFlag(FLAGS_histograms).empty())
        return exit_ok;
    std::ofstream file(absl::GetFlag(FLAGS_histograms));
    file << ivypier::replay::histogramTable(suite.runDefaultPlan());
    return file.good() ? exit_ok : exit_failed;
}

} // namespace

int main(int argc, char **argv)
{
    ivypier::program::parseCommandLine({"ivypier-replay",
                                        "Replays traces in virtual time through the nodes' decisions.\n\n"
                                        "  ivypier-replay --parameters tests/traces/ghana-postal.toml"},
                                       argc, argv);
    ivypier::configureLog("ivypier-replay", ivypier::log_level::warning);

    if (!absl::GetFlag(FLAGS_live_node).empty())
        return runLiveComparison();
    if (!absl::GetFlag(FLAGS_trace).empty())
        return replayRecorded(absl::GetFlag(FLAGS_trace));
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
