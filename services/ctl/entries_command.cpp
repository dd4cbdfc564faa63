#include "base/json.h"
#include "commands.h"
#include "node_request.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view entries_command::name() const
{
    return "entries";
}

std::string_view entries_command::argumentName() const
{
    return "SERVICE";
}

int entries_command::run(const command_options &options, const std::string &argument) const
{
    const outcome<Json::Value> response
        = sendAuthenticatedRequest(options, {.path = "/v1/entry", .query = "service=" + argument});
    if (!response)
        return reportFailure(options, response.error());
    if (options.json) {
        printJson(response.value());
        return program::exit_ok;
    }
    for (const Json::Value &each : response.value()["addresses"])
        std::cout << stringMember(each, "address") << '\n';
    std::cout << "kept for " << integerMember(response.value(), "keep_for_ms", 0) << " ms\n";
    return program::exit_ok;
}

} // namespace ivypier::ctl
