#include "commands.h"
#include "configuration/document_json.h"
#include "platform_session.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view diff_command::name() const
{
    return "diff";
}

std::string_view diff_command::argumentName() const
{
    return "DOCUMENT";
}

int diff_command::run(const command_options &options, const std::string &argument) const
{
    const auto read = loadDocument(options, argument);
    if (const auto *code = std::get_if<program::exit_code>(&read))
        return *code;
    auto session = platform_session::open(options.platform);
    if (!session)
        return reportFailure(options, session.error());
    const outcome<configuration::in_force> found = session.value()->readInForce();
    if (!found)
        return reportFailure(options, found.error());
    const auto changes
        = configuration::difference(found.value().content, std::get<configuration::document>(read));
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["in_force"] = Json::UInt64{found.value().head.version};
        json["changes"] = configuration::toJson(changes);
        printJson(json);
    } else {
        std::cout << changes.size() << " changes to version " << found.value().head.version << '\n';
        printChanges(changes);
    }
    return changes.empty() ? program::exit_ok : program::exit_differences_found;
}

} // namespace ivypier::ctl
