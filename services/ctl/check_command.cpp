#include "commands.h"
#include "file_check.h"
#include "program/file_reader.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view check_command::name() const
{
    return "check";
}

std::string_view check_command::argumentName() const
{
    return "FILE";
}

int check_command::run(const command_options &options, const std::string &argument) const
{
    if (options.format != "auto" && options.format != "document" && options.format != "platform") {
        std::cerr << "ivypierctl: --format is document, platform or auto\n";
        return check_result::exit_errors;
    }
    const outcome<std::string> text = program::readFile(argument, max_checked_bytes);
    if (!text) {
        check_result unread;
        unread.addError("unreadable", "", text.error().message);
        return unread.print(options, argument);
    }
    const bool isPlatform
        = options.format == "auto" ? isPlatformConfiguration(text.value()) : options.format == "platform";
    const check_result result = isPlatform ? checkPlatformConfiguration(options, text.value())
                                           : checkDocument(options, text.value());
    return result.print(options, argument);
}

} // namespace ivypier::ctl
