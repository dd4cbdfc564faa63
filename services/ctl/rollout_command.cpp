#include "base/json.h"
#include "commands.h"
#include "platform_session.h"

#include "base/status_codes.h"

#include <iostream>

namespace ivypier::ctl {

namespace {

constexpr std::string_view stop_prefix = "stop ";

std::string totalsText(const Json::Value &totals)
{
    return "calls " + std::to_string(unsignedMember(totals, "calls", 0)) + ", served "
        + std::to_string(unsignedMember(totals, "served", 0)) + ", failed "
        + std::to_string(unsignedMember(totals, "failed", 0)) + ", broken off "
        + std::to_string(unsignedMember(totals, "broken", 0)) + ", long gaps "
        + std::to_string(unsignedMember(totals, "gaps", 0));
}

void printRollout(const Json::Value &json)
{
    std::cout << stringMember(json, "service") << " to " << stringMember(json, "target") << ": "
              << stringMember(json, "state");
    if (json.isMember("share"))
        std::cout << ", share " << numberMember(json, "share", 0.0);
    if (json.isMember("stated_ms_ago"))
        std::cout << ", stated " << unsignedMember(json, "stated_ms_ago", 0) << " ms ago";
    std::cout << '\n';
    // Only the holder of the duties has the evidence of the fleet.
    if (!json.isMember("reason"))
        return;
    std::cout << "  reason: " << stringMember(json, "reason") << "; time left "
              << integerMember(json, "time_left_ms", 0) << " ms, evidence "
              << unsignedMember(json, "evidence_age_ms", 0) << " ms old\n"
              << "  " << stringMember(json, "target") << ": "
              << totalsText(objectMember(json, "target_version")) << '\n'
              << "  other versions: " << totalsText(objectMember(json, "other_versions")) << '\n';
}

/// Sends a request to the metrics address that `--node` gives, and returns the JSON body of the response.
outcome<Json::Value> ask(const command_options &options, http::request message)
{
    const outcome<endpoint> node = endpoint::parse(options.node);
    if (!node)
        return error{error_code::invalid_argument, "--node: " + node.error().message};
    const outcome<http::response> response
        = sendNodeRequest(node.value(), std::move(message), options.certificateAuthority);
    if (!response)
        return response.error();
    outcome<Json::Value> body = parseJson(response.value().body);
    if (response.value().status != status_ok)
        return error{error_code::refused, body ? stringMember(body.value(), "message") : "the node refuses"};
    return body;
}

} // namespace

std::string_view rollout_command::name() const
{
    return "rollout";
}

std::string_view rollout_command::argumentName() const
{
    return "show|stop SERVICE";
}

int rollout_command::run(const command_options &options, const std::string &argument) const
{
    http::request message{.path = "/rollouts"};
    if (argument.starts_with(stop_prefix)) {
        Json::Value content(Json::objectValue);
        content["service"] = argument.substr(stop_prefix.size());
        message = {.method = "POST", .path = "/rollouts/stop", .body = writeJson(content)};
    } else if (argument != "show") {
        return reportFailure(options, {error_code::invalid_argument, "expected show or stop SERVICE"});
    }
    const outcome<Json::Value> answer = ask(options, std::move(message));
    if (!answer)
        return reportFailure(options, answer.error());
    if (options.json) {
        printJson(answer.value());
        return program::exit_ok;
    }
    if (answer.value().isArray()) {
        for (const Json::Value &each : answer.value())
            printRollout(each);
    }
    return program::exit_ok;
}

} // namespace ivypier::ctl
