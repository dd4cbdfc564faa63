#include "node_settings.h"

#include "base/endpoint_setting.h"
#include "base/secret.h"

namespace ivypier::node {

namespace {

constexpr std::int64_t default_configuration_interval_milliseconds = 1000;
constexpr std::int64_t default_stop_timeout_seconds = 30;
constexpr std::int64_t max_lag_milliseconds = 60'000;

} // namespace

std::variant<node_settings, std::vector<settings_error>> readNodeSettings(std::string_view text)
{
    settings_reader root = settings_reader::parse(text);
    node_settings result;
    result.name = root.requiredString("name");
    result.address = requiredEndpoint(root, "address");
    result.failureDomain = root.requiredString("failure_domain");
    result.region = root.optionalString("region", "local");
    result.vm = root.optionalString("vm", "");
    result.fleetKey = root.requiredString("fleet_key");
    if (!result.fleetKey.empty() && !secret_key::fromPassphrase(result.fleetKey))
        root.fault("fleet_key", "is too short; expected at least 16 bytes");
    result.platform = requiredEndpoint(root, "platform");
    result.seeds = optionalEndpoints(root, "seeds");
    result.configurationInterval = std::chrono::milliseconds(root.optionalInteger(
        "configuration_interval_ms", default_configuration_interval_milliseconds, 10, 600'000));
    result.stopTimeout
        = std::chrono::seconds(root.optionalInteger("stop_within_s", default_stop_timeout_seconds, 1, 600));
    result.loadReportLag
        = std::chrono::milliseconds(root.optionalInteger("load_report_lag_ms", 0, 0, max_lag_milliseconds));
    result.faultInjectionEnabled = root.optionalBoolean("fault_switch", false);
    if (root.has("tls")) {
        settings_reader tls = root.table("tls");
        result.tls = http::tls_files{tls.requiredString("certificate"), tls.requiredString("private_key")};
        result.tlsAuthority = tls.requiredString("authority");
        tls.finish();
    }
    root.finish();
    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return result;
}

} // namespace ivypier::node
