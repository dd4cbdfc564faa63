#include "base/json.h"
#include "commands.h"
#include "node_request.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view drain_command::name() const
{
    return "drain";
}

std::string_view drain_command::argumentName() const
{
    return "";
}

int drain_command::run(const command_options &options, const std::string &) const
{
    const outcome<Json::Value> response
        = sendAuthenticatedRequest(options, {.method = "POST", .path = "/internal/drain", .body = "{}"});
    if (!response)
        return reportFailure(options, response.error());
    if (options.json)
        printJson(response.value());
    else
        std::cout << options.node << " drains; it stops when its "
                  << integerMember(response.value(), "requests_unfinished", 0)
                  << " unfinished requests are answered or handed over\n";
    return program::exit_ok;
}

} // namespace ivypier::ctl
