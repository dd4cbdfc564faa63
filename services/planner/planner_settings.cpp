#include "planner_settings.h"

namespace ivypier::planner {

namespace {

constexpr std::int64_t default_configuration_interval_milliseconds = 5'000;
constexpr std::int64_t default_lease_milliseconds = 10'000;
constexpr std::int64_t default_candidates = 3;
constexpr std::int64_t max_milliseconds = 3'600'000;
constexpr double max_rate = 1e9;

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

duration readMilliseconds(settings_reader &table, std::string_view key, duration fallback)
{
    return std::chrono::milliseconds(
        table.optionalInteger(key, milliseconds(fallback), 10, max_milliseconds));
}

void readMachineClasses(settings_reader &root, planner_settings &result)
{
    for (settings_reader &each : root.tables("machine_classes")) {
        const std::string service = each.requiredString("service");
        placement::class_capacity capacity;
        capacity.machineClass = each.requiredString("name");
        capacity.requestsPerSecond = each.requiredNumber("requests_per_second", 0.001, max_rate);
        capacity.tokensPerSecond = each.optionalNumber("tokens_per_second", 0.0, 0.0, max_rate);
        std::vector<placement::class_capacity> &known = result.capacities[service];
        for (const placement::class_capacity &other : known) {
            if (other.machineClass == capacity.machineClass)
                each.fault("name",
                           "\"" + other.machineClass + "\" stands twice for service \"" + service + "\"");
        }
        known.push_back(std::move(capacity));
        each.finish();
    }
}

} // namespace

std::variant<planner_settings, std::vector<settings_error>> readPlannerSettings(std::string_view text)
{
    settings_reader root = settings_reader::parse(text);
    planner_settings result;
    result.name = root.requiredString("name");
    result.address = readEndpoint(root, "address");
    result.failureDomain = root.requiredString("failure_domain");
    result.vm = root.optionalString("vm", result.name);
    result.platform = readEndpoint(root, "platform");
    result.configurationInterval
        = readMilliseconds(root, "configuration_interval_ms",
                           std::chrono::milliseconds(default_configuration_interval_milliseconds));
    result.leaseTerm = std::chrono::milliseconds(
        root.optionalInteger("lease_ms", default_lease_milliseconds, 500, max_milliseconds));
    result.candidates
        = static_cast<std::size_t>(root.optionalInteger("candidates", default_candidates, 1, 100));
    readMachineClasses(root, result);
    for (settings_reader &each : root.tables("services")) {
        const std::string name = each.requiredString("name");
        result.minRequestsPerSecond[name] = each.requiredNumber("least_requests_per_second", 0.0, max_rate);
        each.finish();
    }
    settings_reader capacity = root.table("capacity");
    result.capacity.interval = readMilliseconds(capacity, "interval_ms", result.capacity.interval);
    result.capacity.releaseDelay
        = readMilliseconds(capacity, "release_delay_ms", result.capacity.releaseDelay);
    result.capacity.releaseNotice
        = readMilliseconds(capacity, "release_notice_ms", result.capacity.releaseNotice);
    capacity.finish();
    settings_reader orders = root.table("orders");
    result.orders.interval = readMilliseconds(orders, "interval_ms", result.orders.interval);
    result.orders.maxLoadingFraction
        = orders.optionalNumber("most_loading", result.orders.maxLoadingFraction, 0.0, 1.0);
    orders.finish();
    root.finish();
    std::vector<settings_error> faults = root.faults();
    if (!faults.empty())
        return faults;
    return result;
}

} // namespace ivypier::planner
