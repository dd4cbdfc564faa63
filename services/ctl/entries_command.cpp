#include "base/json.h"
#include "commands.h"
#include "node_request.h"

#include <iostream>

namespace ivypier::ctl {

std::string_view entries_command::name() const
{
    return "entries";
}

std::string_view entries_command::argument() const
{
    return "SERVICE";
}

int entries_command::run(const command_options &options, const std::string &argument) const
{
    const outcome<Json::Value> answer
        = sendAuthenticatedRequest(options, {.path = "/v1/entry", .query = "service=" + argument});
    if (!answer)
        return reportFailure(options, answer.error());
    if (options.json) {
        printJson(answer.value());
        return program::exit_ok;
    }
    for (const Json::Value &each : answer.value()["addresses"])
        std::cout << stringMember(each, "address") << '\n';
    std::cout << "kept for " << integerMember(answer.value(), "keep_for_ms", 0) << " ms\n";
    return program::exit_ok;
}

} // namespace ivypier::ctl
