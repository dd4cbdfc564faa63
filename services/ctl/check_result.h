#pragma once

#include "command.h"
#include "platform/configuration_check.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::ctl {

/// What `ivypierctl check` reports of a file.
struct check_result
{
    static constexpr int exit_warnings = 1; ///< with --strict
    static constexpr int exit_errors = 2;

    std::vector<adapter::located_finding> findings;
    std::size_t errors = 0;
    std::size_t warnings = 0;
    std::optional<std::string> against; ///< what it was compared with
    std::vector<std::string> changes; ///< one line each
    std::size_t patchBytes = 0; ///< size of the change on the wire between nodes, compressed

    auto operator<=>(const check_result &) const = default;

    void addError(std::string rule, std::string path, std::string text, std::uint32_t line = 0);

    /// Prints the result, and returns the exit status.
    int print(const command_options &options, const std::string &file) const;
};

/// Replaces control characters, which could change the state of a terminal.
std::string printable(std::string text);

} // namespace ivypier::ctl
