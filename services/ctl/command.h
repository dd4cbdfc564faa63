#pragma once

#include "base/clock.h"
#include "configuration/document_difference.h"
#include "program/exit_code.h"

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::ctl {

/// The command line flags that commands use.
struct command_options
{
    std::string platform; ///< address of the platform's services
    std::string node; ///< address of a node; empty if not set
    std::string keyFile; ///< file with the key to authenticate with at a node
    std::string certificateAuthority; ///< PEM file to verify nodes' certificates with; empty: no TLS
    std::string operatorName; ///< recorded as the writer of a submitted document
    std::optional<std::uint64_t> expectedVersion; ///< submit only if this version is in force
    std::string against; ///< version, file or `in-force` that a checked file is compared with; may be empty
    std::string format = "auto"; ///< of a checked file: `document`, `platform` or `auto`
    duration callerWait{}; ///< for which callers wait for an answer; zero: not known
    bool strict = false; ///< warnings of a check are failures
    bool json = false;

    auto operator<=>(const command_options &) const = default;
};

/// A subcommand of ivypierctl.
class command
{
public:
    virtual ~command() = default;

    virtual std::string_view name() const = 0;

    /// Returns the name of the command's argument, e.g. `DOCUMENT`; empty if it takes none.
    virtual std::string_view argumentName() const = 0;

    /// Runs the command and returns the process's exit code.
    virtual int run(const command_options &options, const std::string &argument) const = 0;
};

/// Returns all commands.
std::vector<const command *> allCommands();

/// Prints a JSON value to standard output, on one line.
void printJson(const Json::Value &value);

/// Prints an error, as JSON to standard output or as text to standard error, and returns its exit code.
int reportFailure(const command_options &options, const error &failure);

/// Prints changes to standard output, one per line.
void printChanges(const std::vector<configuration::document_change> &changes);

/// Reads and validates a document file. If it can't be read or is invalid, prints the error or the faults and
/// returns the exit code.
std::variant<configuration::document, program::exit_code> loadDocument(const command_options &options,
                                                                       const std::string &path);

} // namespace ivypier::ctl
