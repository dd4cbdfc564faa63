#pragma once

#include "configuration/document_difference.h"
#include "program/exit_code.h"

#include <cstdint>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::ctl {

/// The flags that commands read.
struct command_options
{
    std::string platform; ///< address of the platform's services
    std::string node; ///< address of a node; empty: none was given
    std::string keyFile; ///< file with the key to show to a node
    std::string certificateAuthority; ///< PEM file; empty: no TLS towards nodes
    std::string operatorName; ///< recorded with a submission
    std::optional<std::uint64_t> base; ///< version to insist on
    bool json = false;

    auto operator<=>(const command_options &) const = default;
};

/// One verb of the command line.
class command
{
public:
    virtual ~command() = default;

    virtual std::string_view name() const = 0;

    /// What stands after the verb, e.g. `DOCUMENT`; empty: nothing.
    virtual std::string_view argument() const = 0;

    /// Runs the command; gives the code to exit with.
    virtual int run(const command_options &options, const std::string &argument) const = 0;
};

/// Every command, by name.
std::vector<const command *> allCommands();

/// Prints a JSON value to standard output, one line.
void printJson(const Json::Value &value);

/// Prints a failure and gives its exit code.
int reportFailure(const command_options &options, const error &failure);

/// Prints changes, one a line.
void printChanges(const std::vector<configuration::document_change> &changes);

/// A document file, read and checked; prints its faults, or the failure to read it, and gives the exit code.
std::variant<configuration::document, program::exit_code> loadDocument(const command_options &options,
                                                                       const std::string &path);

} // namespace ivypier::ctl
