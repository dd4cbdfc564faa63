#include "base/json.h"
#include "base/status_codes.h"
#include "commands.h"
#include "platform_session.h"

#include <iostream>
#include <map>

namespace ivypier::ctl {

namespace {

/// Upstreams and calls of one software version of a service.
struct version_summary
{
    int upstreams = 0;
    int ready = 0;
    double calls = 0.0; ///< of all nodes
    bool isListed = false;
};

std::string versionText(const Json::Value &upstream)
{
    const std::string version = stringMember(upstream, "version");
    return version.empty() ? "(none stated)" : version;
}

void printVersions(const Json::Value &upstreams)
{
    std::map<std::pair<std::string, std::string>, version_summary> versions;
    for (const Json::Value &each : upstreams) {
        version_summary &summary = versions[{stringMember(each, "service"), versionText(each)}];
        ++summary.upstreams;
        summary.ready += stringMember(each, "state") == "ready" ? 1 : 0;
        summary.calls += numberMember(each, "calls", 0.0);
        summary.isListed = summary.isListed || booleanMember(each, "is_version_listed");
    }
    for (const auto &[key, summary] : versions)
        std::cout << key.first << " version " << key.second << ": upstreams " << summary.upstreams
                  << ", ready " << summary.ready << ", calls " << summary.calls
                  << (summary.isListed ? "" : ", not listed: no resumable stream begins there") << '\n';
}

void printUpstream(const Json::Value &json)
{
    std::cout << "  " << stringMember(json, "id") << ' ' << stringMember(json, "service") << ' '
              << versionText(json) << ' ' << stringMember(json, "failure_domain") << ' '
              << stringMember(json, "state") << " calls " << numberMember(json, "calls", 0.0) << " of "
              << unsignedMember(json, "slots", 0);
    if (const std::uint64_t wait = unsignedMember(json, "wait_ms", 0); wait > 0)
        std::cout << ", waits " << wait << " ms";
    if (const double limit = numberMember(json, "limit_per_second", 0.0); limit > 0.0)
        std::cout << ", limit " << limit << "/s, stated " << unsignedMember(json, "limit_age_ms", 0)
                  << " ms ago";
    std::cout << '\n';
}

} // namespace

std::string_view upstreams_command::name() const
{
    return "upstreams";
}

std::string_view upstreams_command::argumentName() const
{
    return "";
}

int upstreams_command::run(const command_options &options, const std::string &) const
{
    const outcome<endpoint> node = endpoint::parse(options.node);
    if (!node)
        return reportFailure(options, {error_code::invalid_argument, "--node: " + node.error().message});
    const outcome<http::response> response
        = sendNodeRequest(node.value(), {.path = "/upstreams"}, options.certificateAuthority);
    if (!response)
        return reportFailure(options, response.error());
    const outcome<Json::Value> upstreams = parseJson(response.value().body);
    if (response.value().status != status_ok || !upstreams || !upstreams.value().isArray())
        return reportFailure(options, {error_code::refused, "the node doesn't list upstreams"});
    if (options.json) {
        printJson(upstreams.value());
        return program::exit_ok;
    }
    printVersions(upstreams.value());
    for (const Json::Value &each : upstreams.value())
        printUpstream(each);
    return program::exit_ok;
}

} // namespace ivypier::ctl
