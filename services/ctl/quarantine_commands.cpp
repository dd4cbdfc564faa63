#include "base/json.h"
#include "base/status_codes.h"
#include "commands.h"
#include "platform_session.h"

#include <iostream>

namespace ivypier::ctl {

namespace {

std::string joined(const Json::Value &texts)
{
    std::string result;
    for (const Json::Value &each : texts)
        result.append(result.empty() ? "" : ",").append(stringOf(each));
    return result;
}

void printEntry(const Json::Value &json)
{
    std::cout << stringMember(json, "entry") << ' ' << stringMember(json, "service") << ' '
              << stringMember(json, "stage") << (booleanMember(json, "by_operator") ? " by an operator" : "")
              << " for " << unsignedMember(json, "age_ms", 0) << " ms, trials "
              << unsignedMember(json, "trials", 0) << ", keys " << joined(arrayMember(json, "keys"))
              << ", ended " << joined(arrayMember(json, "upstreams")) << '\n';
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

int change(const command_options &options, const std::string &path, const Json::Value &content)
{
    const outcome<Json::Value> done
        = ask(options, {.method = "POST", .path = path, .body = writeJson(content)});
    if (!done)
        return reportFailure(options, done.error());
    if (options.json)
        printJson(done.value());
    return program::exit_ok;
}

} // namespace

std::string_view quarantine_command::name() const
{
    return "quarantine";
}

std::string_view quarantine_command::argumentName() const
{
    return "";
}

int quarantine_command::run(const command_options &options, const std::string &) const
{
    const outcome<Json::Value> entries = ask(options, {.path = "/quarantine"});
    if (!entries)
        return reportFailure(options, entries.error());
    if (options.json) {
        printJson(entries.value());
        return program::exit_ok;
    }
    for (const Json::Value &each : entries.value())
        printEntry(each);
    return program::exit_ok;
}

std::string_view lift_command::name() const
{
    return "lift";
}

std::string_view lift_command::argumentName() const
{
    return "ENTRY";
}

int lift_command::run(const command_options &options, const std::string &argument) const
{
    Json::Value content(Json::objectValue);
    content["entry"] = argument;
    return change(options, "/quarantine/lift", content);
}

std::string_view convict_command::name() const
{
    return "convict";
}

std::string_view convict_command::argumentName() const
{
    return "SERVICE/PART";
}

int convict_command::run(const command_options &options, const std::string &argument) const
{
    const std::size_t slash = argument.rfind('/');
    if (slash == std::string::npos)
        return reportFailure(options, {error_code::invalid_argument, "expected SERVICE/PART"});
    Json::Value content(Json::objectValue);
    content["service"] = argument.substr(0, slash);
    content["part"] = argument.substr(slash + 1);
    return change(options, "/quarantine/convict", content);
}

} // namespace ivypier::ctl
