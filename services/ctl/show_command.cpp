#include "commands.h"
#include "configuration/document_writer.h"
#include "platform_session.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view show_command::name() const
{
    return "show";
}

std::string_view show_command::argumentName() const
{
    return "";
}

int show_command::run(const command_options &options, const std::string &) const
{
    auto session = platform_session::open(options.platform);
    if (!session)
        return reportFailure(options, session.error());
    const outcome<configuration::in_force> found = session.value()->readInForce();
    if (!found)
        return reportFailure(options, found.error());
    const configuration::document_head &head = found.value().head;
    const std::string text = head.version == 0 ? "" : configuration::writeDocument(found.value().content);
    if (options.json) {
        Json::Value json(Json::objectValue);
        json["version"] = Json::UInt64{head.version};
        json["digest"] = head.digest;
        json["writer"] = configuration::writerName(head);
        json["document"] = text;
        printJson(json);
        return program::exit_ok;
    }
    if (head.version == 0)
        std::cerr << "ivypierctl: no document was ever accepted\n";
    else
        std::cout << "# version " << head.version << " by " << configuration::writerName(head) << '\n'
                  << text;
    return program::exit_ok;
}

} // namespace ivypier::ctl
