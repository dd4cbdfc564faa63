#pragma once

#include <string>
#include <vector>

namespace ivypier::program {

/// A program's name and the text that `--help` prints before the flags.
struct program_description
{
    std::string name;
    std::string usage;

    auto operator<=>(const program_description &) const = default;
};

/// Parses the flags and returns the positional arguments. `--help`, `--version` and invalid flags end the
/// process.
std::vector<std::string> parseCommandLine(const program_description &description, int argc, char **argv);

} // namespace ivypier::program
