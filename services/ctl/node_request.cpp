#include "node_request.h"

#include "base/json.h"
#include "base/status_codes.h"
#include "platform_session.h"
#include "program/file_reader.h"

namespace ivypier::ctl {

namespace {

error errorFromResponse(const http::response &answer)
{
    const outcome<Json::Value> json = parseJson(answer.body);
    const std::string message = json ? stringMember(json.value(), "message") : "";
    const bool refused = answer.status == status_unauthorized || answer.status == status_forbidden;
    return {refused ? error_code::unauthenticated : error_code::unavailable,
            "the node answered " + std::to_string(answer.status) + (message.empty() ? "" : ": " + message)};
}

} // namespace

outcome<Json::Value> sendAuthenticatedRequest(const command_options &options, http::request message)
{
    const outcome<endpoint> node = endpoint::parse(options.node);
    if (!node)
        return error{error_code::invalid_argument, "--node: " + node.error().message};
    if (options.keyFile.empty())
        return error{error_code::invalid_argument, "--key_file is missing: the file that holds your key"};
    const outcome<std::string> key = program::readKeyFile(options.keyFile);
    if (!key)
        return key.error();
    message.headers["Authorization"] = "Bearer " + key.value();
    const outcome<http::response> answer
        = sendNodeRequest(node.value(), std::move(message), options.certificateAuthority);
    if (!answer)
        return answer.error();
    if (answer.value().status >= status_bad_request)
        return errorFromResponse(answer.value());
    return parseJson(answer.value().body);
}

} // namespace ivypier::ctl
