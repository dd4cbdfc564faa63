#include "edge_settings.h"

#include "base/endpoint_setting.h"
#include "base/secret.h"

namespace ivypier::edge {

namespace {

/// A twentieth of the memory of the smallest VM.
constexpr std::int64_t default_answer_buffer_bytes = std::int64_t{8} * 1024 * 1024;
constexpr const char *expected_time_name = "expected_time";
constexpr const char *prefix_affinity_name = "prefix_affinity";
constexpr std::int64_t min_answer_buffer_bytes = std::int64_t{64} * 1024;
constexpr std::int64_t max_answer_buffer_bytes = std::int64_t{1} << 40;

duration requiredMilliseconds(settings_reader &reader, std::string_view key, std::int64_t minimum,
                              std::int64_t maximum)
{
    return std::chrono::milliseconds(reader.requiredInteger(key, minimum, maximum));
}

} // namespace

std::variant<edge_settings, std::vector<settings_error>> readEdgeSettings(std::string_view text)
{
    settings_reader root = settings_reader::parse(text);
    edge_settings result;
    result.name = root.requiredString("name");
    result.failureDomain = root.requiredString("failure_domain");
    result.region = root.requiredString("region");
    result.callers = requiredEndpoint(root, "callers");
    result.readiness = requiredEndpoint(root, "readiness");
    result.lookups = requiredEndpoint(root, "lookups");
    result.control = requiredEndpoint(root, "control");
    result.metrics = requiredEndpoint(root, "metrics");
    result.gossipPort = static_cast<std::uint16_t>(root.requiredInteger("gossip_port", 1, 65535));
    result.fleetPort = static_cast<std::uint16_t>(root.requiredInteger("fleet_port", 1, 65535));
    result.permitPort
        = static_cast<std::uint16_t>(root.optionalInteger("permit_port", result.gossipPort + 1, 1, 65535));
    result.originPort
        = static_cast<std::uint16_t>(root.optionalInteger("origin_port", result.gossipPort + 2, 1, 65535));
    result.crashPort
        = static_cast<std::uint16_t>(root.optionalInteger("crash_port", result.gossipPort + 3, 1, 65535));
    result.seeds = optionalEndpoints(root, "seeds");
    result.fleetKey = root.requiredString("fleet_key");
    if (!result.fleetKey.empty() && !secret_key::fromPassphrase(result.fleetKey))
        root.fault("fleet_key", "is too short; expected at least 16 bytes");
    result.store = requiredEndpoint(root, "store");
    result.cloud = requiredEndpoint(root, "cloud");
    result.answerBufferBytes
        = static_cast<std::size_t>(root.optionalInteger("answer_buffer_bytes", default_answer_buffer_bytes,
                                                        min_answer_buffer_bytes, max_answer_buffer_bytes));
    result.maxDescriptors = static_cast<std::size_t>(root.requiredInteger("descriptors", 64, 10'000'000));
    result.stopTimeout = requiredMilliseconds(root, "stop_within_ms", 100, 600'000);
    result.lookupCacheDuration = requiredMilliseconds(root, "lookup_lifetime_ms", 100, 60'000);
    result.leaseTerm = requiredMilliseconds(root, "lease_term_ms", 500, 60'000);
    result.usageWindow = requiredMilliseconds(root, "usage_window_ms", 100, 3'600'000);
    result.retryRatio = root.requiredNumber("repeat_ratio", 0.0, 10.0);
    result.retrySlack = root.requiredNumber("repeat_slack", 0.0, 1e6);
    result.retryWindow = requiredMilliseconds(root, "repeat_window_ms", 100, 600'000);
    result.limitTolerance = root.requiredNumber("limit_tolerance", 0.0, 1e12);
    const std::string selection = root.optionalString("upstream_selection", prefix_affinity_name);
    if (selection == expected_time_name)
        result.selection = upstream_selection::expected_time;
    else if (selection != prefix_affinity_name)
        root.fault("upstream_selection", "expected \"expected_time\" or \"prefix_affinity\"");
    result.exposureShare = root.optionalNumber("exposure_share", 0.0, 0.0, 1.0);
    result.exposureTolerance = root.optionalNumber("exposure_tolerance", 0.0, 0.0, 1e9);
    result.rollbackTime = std::chrono::milliseconds(root.optionalInteger("rollback_ms", 0, 0, 600'000));
    root.finish();
    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return result;
}

} // namespace ivypier::edge
