#pragma once

#include "base/outcome.h"
#include "base/settings_reader.h"
#include "program/command_line.h"
#include "program/exit_code.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ivypier::program {

/// The text of the settings file that the flags name, or the code to exit with.
std::variant<std::string, exit_code> readSettingsText(const program_description &about, int argc,
                                                      char **argv);

/// The settings file as it is now, once readSettingsText() has found it.
outcome<std::string> settingsTextAgain();

/// Prints faults of the settings file, one a line with file and line number.
void printFaults(const std::vector<settings_error> &faults);

/// True when the flags ask only to check the settings.
bool onlyChecks();

/// Starts the log of a daemon as its flags say.
void configureDaemonLog(const program_description &about);

/// Reads a daemon's flags (`--settings`, `--check`, `--verbose`) and its settings file, and starts its log.
/// Gives the settings, or the code to exit with at once.
template <typename Settings>
std::variant<Settings, exit_code> prepareDaemon(
    const program_description &about, int argc, char **argv,
    const std::function<std::variant<Settings, std::vector<settings_error>>(std::string_view)> &read)
{
    const std::variant<std::string, exit_code> text = readSettingsText(about, argc, argv);
    if (const auto *code = std::get_if<exit_code>(&text))
        return *code;
    auto settings = read(std::get<std::string>(text));
    if (const auto *faults = std::get_if<std::vector<settings_error>>(&settings)) {
        printFaults(*faults);
        return exit_invalid;
    }
    if (onlyChecks())
        return exit_ok;
    configureDaemonLog(about);
    return std::get<Settings>(std::move(settings));
}

} // namespace ivypier::program
