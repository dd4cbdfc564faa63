#include "program/daemon.h"

#include "base/log_event.h"
#include "program/file_reader.h"

#include <absl/flags/flag.h>

#include <cstdlib>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "path of the settings, a TOML file; docs/SETTINGS.md lists its fields");
ABSL_FLAG(bool, check, false, "check the settings, say what is wrong with them, and exit");
ABSL_FLAG(bool, verbose, false, "log debugging events too");

namespace ivypier::program {

namespace {

/// Environment variable with the path of the settings file, used when --settings is not given.
constexpr const char *settings_variable = "IVYPIER_SETTINGS";

} // namespace

std::variant<std::string, exit_code> readSettingsText(const program_description &description, int argc,
                                                      char **argv)
{
    const std::vector<std::string> positionalArguments = parseCommandLine(description, argc, argv);
    if (!positionalArguments.empty()) {
        std::cerr << description.name << ": \"" << positionalArguments.front()
                  << "\" is not understood (see --help)\n";
        return exit_usage;
    }
    if (absl::GetFlag(FLAGS_settings).empty()) {
        if (const char *environmentPath = std::getenv(settings_variable))
            absl::SetFlag(&FLAGS_settings, environmentPath);
    }
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << description.name << ": --settings is missing (see --help)\n";
        return exit_usage;
    }
    outcome<std::string> text = readFile(path);
    if (text)
        return std::move(text).value();
    std::cerr << description.name << ": " << text.error().message << '\n';
    return exit_usage;
}

outcome<std::string> rereadSettingsText()
{
    return readFile(absl::GetFlag(FLAGS_settings));
}

void printFaults(const std::vector<settings_error> &faults)
{
    for (const settings_error &each : faults)
        std::cerr << describe(each, absl::GetFlag(FLAGS_settings)) << '\n';
}

bool isCheckOnly()
{
    return absl::GetFlag(FLAGS_check);
}

void configureDaemonLog(const program_description &description)
{
    configureLog(description.name, absl::GetFlag(FLAGS_verbose) ? log_level::debug : log_level::info);
}

} // namespace ivypier::program
