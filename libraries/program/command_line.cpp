#include "program/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <string_view>

namespace ivypier::program {

namespace {

constexpr const char *version = "0.1.0";

/// True for the files of this project that define flags, so that `--help` lists these and no others.
bool definesOwnFlags(absl::string_view file)
{
    return file.find("absl") == absl::string_view::npos;
}

} // namespace

std::vector<std::string> parseCommandLine(const program_description &about, int argc, char **argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [name = about.name] { return name + ' ' + version + '\n'; };
    usage.contains_helpshort_flags = definesOwnFlags;
    usage.contains_help_flags = definesOwnFlags;
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage(about.usage);
    const std::vector<char *> words = absl::ParseCommandLine(argc, argv);
    return {words.begin() + 1, words.end()};
}

} // namespace ivypier::program
