#include "base/log_event.h"
#include "caller_crowd.h"
#include "fault_schedule.h"
#include "program/command_line.h"
#include "program/exit_code.h"
#include "soak_checks.h"
#include "soak_deployment.h"

#include <absl/flags/flag.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, bin, "build/bin", "folder with the programs of the build");
ABSL_FLAG(std::uint64_t, seed, 0, "seed of the run; 0: a new one");
ABSL_FLAG(double, minutes, 2.0, "length of the run");
ABSL_FLAG(std::uint64_t, nodes, 4, "number of nodes");
ABSL_FLAG(std::uint64_t, upstreams, 6, "number of upstreams");
ABSL_FLAG(double, callers, 60.0, "calls a second");
ABSL_FLAG(bool, endless_streams, false, "upstreams never end a stream, and all callers leave theirs");
ABSL_FLAG(std::string, only, "", "comma-separated kinds of faults; empty: all");
ABSL_FLAG(std::string, replay, "", "file with the schedule to play");

namespace ivypier::soak {

namespace {

constexpr const char *usage
    = R"(Plays random faults on real processes, and checks what callers and upstreams saw.

  ivypier-soak --seed=7 --minutes=2       prints the schedule, then what was found
  ivypier-soak --replay=FILE              plays a schedule that was printed before

Kinds of faults: node_stopped, node_killed, node_frozen, nodes_killed, platform_down, upstream_ends,
upstream_leaves, upstream_waits, upstream_limits, crashing_part, crashing_call.

Exit codes: 0 nothing was found, 1 a flag is wrong, 10 a promise was broken.)";

constexpr int exit_findings = 10;
/// Time after the last call in which calls may still end.
constexpr duration settle_time = std::chrono::seconds(5);

outcome<std::set<fault_kind>> kindsOf(const std::string &names)
{
    std::set<fault_kind> result;
    std::istringstream input(names);
    for (std::string name; std::getline(input, name, ',');) {
        const outcome<fault_kind> kind = faultKindOf(name);
        if (!kind)
            return kind.error();
        result.insert(kind.value());
    }
    return result;
}

outcome<fault_schedule> scheduleFromFlags()
{
    if (const std::string path = absl::GetFlag(FLAGS_replay); !path.empty()) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        return fault_schedule::parse(text.str());
    }
    const auto kinds = kindsOf(absl::GetFlag(FLAGS_only));
    if (!kinds)
        return kinds.error();
    std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    if (seed == 0)
        seed = seeded_random::fromSystem().next() >> 40;
    return fault_schedule::draw(seed, fromSeconds(60.0 * absl::GetFlag(FLAGS_minutes)),
                                absl::GetFlag(FLAGS_nodes), absl::GetFlag(FLAGS_upstreams), kinds.value());
}

/// Returns the beginning of the addresses of a run, so that runs at the same time don't meet.
std::string networkOfProcess()
{
    const int process = getpid();
    return "127." + std::to_string(30 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + ".";
}

void printResult(const soak_result &result, const fault_schedule &schedule)
{
    std::map<std::string, int> kinds;
    for (const fault &each : schedule.faults)
        ++kinds[nameOf(each.kind)];
    std::cout << "calls " << result.calls << ", served " << result.served << "; in calm spells "
              << result.calmCalls << ", served " << result.calmServed << "; streams taken up again "
              << result.resumed << "; requests that crash upstreams " << result.crashingRequests << '\n';
    for (const auto &[name, count] : kinds)
        std::cout << "fault " << name << ' ' << count << '\n';
    for (const finding &each : result.findings)
        std::cout << "FINDING " << each.rule << ": " << each.text << '\n';
    std::cout << (result.findings.empty() ? "nothing found" : "promises were broken") << std::endl;
}

int play(const fault_schedule &schedule)
{
    std::string folder = (std::filesystem::temp_directory_path() / "ivypier-soak-XXXXXX").string();
    if (!mkdtemp(folder.data())) {
        std::cerr << "ivypier-soak: no folder for logs can be made\n";
        return program::exit_usage;
    }
    std::cout << schedule.text() << "logs in " << folder << std::endl;
    const stream_ending streams
        = absl::GetFlag(FLAGS_endless_streams) ? stream_ending::never() : stream_ending();
    event_loop loop;
    soak_deployment deployment(loop, absl::GetFlag(FLAGS_bin), folder, networkOfProcess(),
                               absl::GetFlag(FLAGS_nodes), absl::GetFlag(FLAGS_upstreams), streams.length);
    caller_crowd callers(loop, deployment, schedule.seed, absl::GetFlag(FLAGS_callers), streams);
    soak_result result;
    const auto finish = [&] {
        deployment.fetchRecord(callers.startedAt(), [&](const std::vector<upstream_record> &upstreams) {
            result = checkRecords(callers.records(), upstreams, schedule);
            deployment.checkProcesses(result.findings);
            loop.stop();
        });
    };
    loop.onTerminate([&loop, &result] {
        result.findings.push_back({"INTERRUPTED", "the run was ended by a signal"});
        loop.stop();
    });
    loop.post([&] {
        deployment.start([&] {
            callers.start();
            for (std::size_t number = 0; number < schedule.faults.size(); ++number) {
                const fault &each = schedule.faults[number];
                loop.after(each.at, [&, number] {
                    const fault &played = schedule.faults[number];
                    deployment.play(played, number);
                    if (played.kind >= fault_kind::crashing_part)
                        callers.addCrashing(played.kind, number);
                });
            }
            loop.after(schedule.length, [&] { callers.stop(); });
            loop.after(schedule.length + settle_time, finish);
        });
    });
    loop.run();
    printResult(result, schedule);
    if (result.findings.empty())
        std::filesystem::remove_all(folder);
    return result.findings.empty() ? program::exit_ok : exit_findings;
}

int run(int argc, char **argv)
{
    program::parseCommandLine({"ivypier-soak", usage}, argc, argv);
    configureLog("ivypier-soak", log_level::error);
    std::signal(SIGPIPE, SIG_IGN);
    const outcome<fault_schedule> schedule = scheduleFromFlags();
    if (!schedule) {
        std::cerr << "ivypier-soak: " << schedule.error().message << '\n';
        return program::exit_usage;
    }
    return play(schedule.value());
}

} // namespace

} // namespace ivypier::soak

int main(int argc, char **argv)
{
    return ivypier::soak::run(argc, argv);
}
