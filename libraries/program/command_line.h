#pragma once

#include <string>
#include <vector>

namespace ivypier::program {

/// A program's name and what `--help` says before the flags.
struct program_description
{
    std::string name;
    std::string usage;

    auto operator<=>(const program_description &) const = default;
};

/// Reads the flags; gives the positionalArguments that are none. `--help` and `--version` end the process.
std::vector<std::string> parseCommandLine(const program_description &description, int argc, char **argv);

} // namespace ivypier::program
