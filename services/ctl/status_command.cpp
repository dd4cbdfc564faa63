#include "base/json.h"
#include "base/status_codes.h"
#include "commands.h"
#include "platform_session.h"

#include <iostream>

namespace ivypier::ctl {

namespace {

/// Returns the node address given by `--node`; without it, the address of every node that the platform lists.
outcome<std::vector<endpoint>> nodesToQuery(const command_options &options)
{
    if (!options.node.empty()) {
        const outcome<endpoint> node = endpoint::parse(options.node);
        if (!node)
            return error{error_code::invalid_argument, "--node: " + node.error().message};
        return std::vector{node.value()};
    }
    auto session = platform_session::open(options.platform);
    if (!session)
        return session.error();
    const auto listed = session.value()->listVms();
    if (!listed)
        return listed.error();
    std::vector<endpoint> nodes;
    for (const cloud::vm_record &each : listed.value()) {
        if (each.role == "node")
            nodes.push_back(each.address);
    }
    return nodes;
}

Json::Value queryStatus(const endpoint &node, const std::string &certificateAuthority)
{
    const outcome<http::response> response = sendNodeRequest(node, {.path = "/status"}, certificateAuthority);
    Json::Value json(Json::objectValue);
    if (response && response.value().status == status_ok) {
        const outcome<Json::Value> parsed = parseJson(response.value().body);
        if (parsed && parsed.value().isObject())
            json = parsed.value();
    }
    json["reached"] = json.isMember("name");
    json["address"] = node.text();
    return json;
}

void printNodeStatus(const Json::Value &json)
{
    std::cout << stringMember(json, "address") << ' ';
    if (!booleanMember(json, "reached")) {
        std::cout << "not reached\n";
        return;
    }
    std::cout << stringMember(json, "name") << ' ' << stringMember(json, "failure_domain") << ' '
              << stringMember(json, "state") << " version "
              << unsignedMember(json, "configuration_version", 0) << " unfinished "
              << unsignedMember(json, "requests_unfinished", 0) << " members " << json["members"].size()
              << '\n';
}

} // namespace

std::string_view status_command::name() const
{
    return "status";
}

std::string_view status_command::argumentName() const
{
    return "";
}

int status_command::run(const command_options &options, const std::string &) const
{
    const outcome<std::vector<endpoint>> nodes = nodesToQuery(options);
    if (!nodes)
        return reportFailure(options, nodes.error());
    Json::Value all(Json::arrayValue);
    bool reached = true;
    for (const endpoint &each : nodes.value()) {
        all.append(queryStatus(each, options.certificateAuthority));
        reached = reached && booleanMember(all[all.size() - 1], "reached");
    }
    if (options.json) {
        printJson(all);
    } else {
        for (const Json::Value &each : all)
            printNodeStatus(each);
    }
    return reached ? program::exit_ok : program::exit_unavailable;
}

} // namespace ivypier::ctl
