#include "node_request.h"

#include "base/json.h"
#include "base/status_codes.h"
#include "platform_session.h"
#include "program/file_reader.h"

namespace ivypier::ctl {

namespace {

error errorFromResponse(const http::response &response)
{
    const outcome<Json::Value> json = parseJson(response.body);
    const std::string message = json ? stringMember(json.value(), "message") : "";
    const bool refused = response.status == status_unauthorized || response.status == status_forbidden;
    return {refused ? error_code::unauthenticated : error_code::unavailable,
            "the node answered " + std::to_string(response.status) + (message.empty() ? "" : ": " + message)};
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
    const outcome<http::response> response
        = sendNodeRequest(node.value(), std::move(message), options.certificateAuthority);
    if (!response)
        return response.error();
    if (response.value().status >= status_bad_request)
        return errorFromResponse(response.value());
    return parseJson(response.value().body);
}

} // namespace ivypier::ctl
