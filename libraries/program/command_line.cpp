#include "program/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <string_view>

namespace ivypier::program {

namespace {

constexpr const char *version = "0.1.0";

/// Returns true if a source file with flags belongs to this project. `--help` lists only those flags.
bool definesProjectFlags(absl::string_view file)
{
    return file.find("absl") == absl::string_view::npos;
}

} // namespace

std::vector<std::string> parseCommandLine(const program_description &description, int argc, char **argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [name = description.name] { return name + ' ' + version + '\n'; };
    usage.contains_helpshort_flags = definesProjectFlags;
    usage.contains_help_flags = definesProjectFlags;
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage(description.usage);
    const std::vector<char *> positionalArguments = absl::ParseCommandLine(argc, argv);
    return {positionalArguments.begin() + 1, positionalArguments.end()};
}

} // namespace ivypier::program
