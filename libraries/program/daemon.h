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
std::variant<std::string, exit_code> readSettingsText(const program_description &description, int argc,
                                                      char **argv);

/// The settings file as it is now, once readSettingsText() has found it.
outcome<std::string> rereadSettingsText();

/// Prints faults of the settings file, one a line with file and line number.
void printFaults(const std::vector<settings_error> &faults);

/// True when the flags ask only to check the settings.
bool isCheckOnly();

/// Starts the log of a daemon as its flags say.
void configureDaemonLog(const program_description &description);

/// Reads a daemon's flags (`--settings`, `--check`, `--verbose`) and its settings file, and starts its log.
/// Gives the settings, or the code to exit with at once.
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
