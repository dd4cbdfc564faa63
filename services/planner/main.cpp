#include "base/event_loop.h"
#include "base/log_event.h"
#include "planner.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "path of the planner's settings, a TOML file");
ABSL_FLAG(bool, check, false, "check the settings, say what is wrong with them, and exit");
ABSL_FLAG(bool, verbose, false, "log debugging events too");

namespace {

/// Exit codes; docs/OPERATING.md lists them.
enum exit_code { exit_ok = 0, exit_usage = 2, exit_settings = 3, exit_start = 4 };

std::optional<std::string> readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char **argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("ivypier-planner 0.1.0\n"); };
    // Without this --help lists no flag: the library looks for the program's name in the file's.
    usage.contains_help_flags
        = [](absl::string_view file) { return absl::EndsWith(file, "planner/main.cpp"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("Plans the VMs of ivypier and gives orders to its runners.\n\n  "
                                 "ivypier-planner --settings planner.toml");
    absl::ParseCommandLine(argc, argv);

    const std::string path = absl::GetFlag(FLAGS_settings);
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        std::cerr << "ivypier-planner: can't read the settings file \"" << path << "\" (see --help)\n";
        return exit_usage;
    }
    const auto read = ivypier::planner::readPlannerSettings(*text);
    if (const auto *faults = std::get_if<std::vector<ivypier::settings_error>>(&read)) {
        for (const ivypier::settings_error &each : *faults)
            std::cerr << ivypier::describe(each, path) << '\n';
        return exit_settings;
    }
    if (absl::GetFlag(FLAGS_check))
        return exit_ok;

    ivypier::configureLog("ivypier-planner",
                          absl::GetFlag(FLAGS_verbose) ? ivypier::log_level::debug
                                                       : ivypier::log_level::info);
    ivypier::event_loop loop;
    auto started = ivypier::planner::planner::start(loop, std::get<ivypier::planner::planner_settings>(read));
    if (!started) {
        ivypier::log_event(ivypier::log_level::error, "planner.failed")
            .with("reason", started.error().message)
            .write();
        return exit_start;
    }
    loop.onTerminate([&] { started.value()->stop(); });
    loop.run();
    return exit_ok;
}
