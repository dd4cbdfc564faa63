#include "base/json.h"
#include "commands.h"
#include "node_request.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view drain_command::name() const
{
    return "drain";
}

std::string_view drain_command::argument() const
{
    return "";
}

int drain_command::run(const command_options &options, const std::string &) const
{
    const outcome<Json::Value> answer
        = sendAuthenticatedRequest(options, {.method = "POST", .path = "/internal/drain", .body = "{}"});
    if (!answer)
        return reportFailure(options, answer.error());
    if (options.json)
        printJson(answer.value());
    else
        std::cout << options.node << " drains; it stops when its "
                  << integerMember(answer.value(), "requests_unfinished", 0)
                  << " unfinished requests are answered or handed over\n";
    return program::exit_ok;
}

} // namespace ivypier::ctl
