#include "commands.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view check_command::name() const
{
    return "check";
}

std::string_view check_command::argumentName() const
{
    return "DOCUMENT";
}

int check_command::run(const command_options &options, const std::string &argument) const
{
    const auto read = loadDocument(options, argument);
    if (const auto *code = std::get_if<program::exit_code>(&read))
        return *code;
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["valid"] = true;
        json["faults"] = Json::Value(Json::arrayValue);
        printJson(json);
    } else {
        std::cout << argument << ": valid\n";
    }
    return program::exit_ok;
}

} // namespace ivypier::ctl
