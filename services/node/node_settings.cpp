#include "node_settings.h"

#include "base/secret.h"

namespace ivypier::node {

namespace {

constexpr std::int64_t default_configuration_interval_milliseconds = 1000;
constexpr std::int64_t most_lag_milliseconds = 60'000;

endpoint readEndpoint(settings_reader &table, std::string_view key)
{
    const std::string text = table.requiredString(key);
    const outcome<endpoint> parsed = endpoint::parse(text);
    if (parsed)
        return parsed.value();
    if (!text.empty())
        table.fault(key, parsed.error().message);
    return {};
}

std::vector<endpoint> readSeeds(settings_reader &table)
{
    std::vector<endpoint> seeds;
    for (const std::string &text : table.optionalStrings("seeds")) {
        const outcome<endpoint> parsed = endpoint::parse(text);
        if (parsed)
            seeds.push_back(parsed.value());
        else
            table.fault("seeds", parsed.error().message);
    }
    return seeds;
}

} // namespace

std::variant<node_settings, std::vector<settings_error>> readNodeSettings(std::string_view text)
{
    settings_reader root = settings_reader::parse(text);
    node_settings result;
    result.name = root.requiredString("name");
    result.address = readEndpoint(root, "address");
    result.failureDomain = root.requiredString("failure_domain");
    result.region = root.optionalString("region", "local");
    result.vm = root.optionalString("vm", "");
    result.fleetKey = root.requiredString("fleet_key");
    if (!result.fleetKey.empty() && !secret_key::fromPassphrase(result.fleetKey))
        root.fault("fleet_key", "is too short; expected at least 16 bytes");
    result.platform = readEndpoint(root, "platform");
    result.seeds = readSeeds(root);
    result.configurationInterval = std::chrono::milliseconds(root.optionalInteger(
        "configuration_interval_ms", default_configuration_interval_milliseconds, 10, 600'000));
    result.loadReportLag
        = std::chrono::milliseconds(root.optionalInteger("load_report_lag_ms", 0, 0, most_lag_milliseconds));
    result.faultSwitch = root.optionalBoolean("fault_switch", false);
    if (root.has("tls")) {
        settings_reader tls = root.table("tls");
        result.tls = http::tls_files{tls.requiredString("certificate"), tls.requiredString("private_key")};
        tls.finish();
    }
    root.finish();
    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return result;
}

} // namespace ivypier::node
