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

/// Parses the flags and returns the text of the settings file that they name. On failure prints the error and
/// returns the exit code.
std::variant<std::string, exit_code> readSettingsText(const program_description &description, int argc,
                                                      char **argv);

/// Reads the settings file again. Call it only after readSettingsText() has succeeded.
outcome<std::string> rereadSettingsText();

/// Prints faults of the settings file to standard error, one per line, with file name and line number.
void printFaults(const std::vector<settings_error> &faults);

/// Returns true if `--check` is set: the daemon only checks its settings and exits.
bool isCheckOnly();

/// Configures the log of a daemon; `--verbose` enables debug events.
void configureDaemonLog(const program_description &description);

/// Parses a daemon's flags (`--settings`, `--check`, `--verbose`) and its settings file, and configures its
/// log. Returns the settings, or the code with which the program must exit at once.
template <typename Settings>
std::variant<Settings, exit_code> prepareDaemon(
    const program_description &description, int argc, char **argv,
    const std::function<std::variant<Settings, std::vector<settings_error>>(std::string_view)> &parseSettings)
{
    const std::variant<std::string, exit_code> text = readSettingsText(description, argc, argv);
    if (const auto *code = std::get_if<exit_code>(&text))
        return *code;
    auto settings = parseSettings(std::get<std::string>(text));
    if (const auto *faults = std::get_if<std::vector<settings_error>>(&settings)) {
        printFaults(*faults);
        return exit_invalid_document;
    }
    if (isCheckOnly())
        return exit_ok;
    configureDaemonLog(description);
    return std::get<Settings>(std::move(settings));
}

} // namespace ivypier::program
