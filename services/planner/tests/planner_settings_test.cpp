#include "planner_settings.h"

#include <catch2/catch.hpp>

namespace ivypier::planner::tests {

namespace {

const std::string valid_settings = R"(
name = "planner-1"
address = "127.0.0.1:8090"
failure_domain = "ridge-hall"
platform = "127.0.0.1:9000"

[[machine_classes]]
service = "tariff"
name = "small"
requests_per_second = 4.0

[[services]]
name = "tariff"
least_requests_per_second = 4.0

[capacity]
interval_ms = 500
)";

std::vector<settings_error> readFaults(const std::string &text)
{
    const auto read = readPlannerSettings(text);
    const auto *faults = std::get_if<std::vector<settings_error>>(&read);
    return faults ? *faults : std::vector<settings_error>();
}

} // namespace

TEST_CASE("valid settings are read", "[settings]")
{
    const auto read = readPlannerSettings(valid_settings);
    REQUIRE(std::holds_alternative<planner_settings>(read));
    const auto &settings = std::get<planner_settings>(read);
    REQUIRE(settings.vm == "planner-1");
    REQUIRE(settings.capacities.at("tariff").front().requestsPerSecond == 4.0);
    REQUIRE(settings.minRequestsPerSecond.at("tariff") == 4.0);
    REQUIRE(settings.capacity.interval == std::chrono::milliseconds(500));
    REQUIRE(settings.leaseTerm == std::chrono::seconds(10));
}

TEST_CASE("every fault is reported with its path and line", "[settings]")
{
    const auto faults = readFaults("name = 3\naddress = \"here\"\nplatform = \"127.0.0.1:9000\"\n"
                                   "lease_ms = 1\nunknown = true\n[capacity]\ninterval_ms = \"soon\"\n");
    REQUIRE(faults.size() == 6);
    std::map<std::string, std::uint32_t> lines;
    for (const settings_error &each : faults)
        lines[each.path] = each.line;
    REQUIRE(lines.at("name") == 1);
    REQUIRE(lines.at("address") == 2);
    REQUIRE(lines.at("lease_ms") == 4);
    REQUIRE(lines.at("unknown") == 5);
    REQUIRE(lines.at("capacity.interval_ms") == 7);
    REQUIRE(lines.contains("failure_domain"));
}

TEST_CASE("a machine class may be listed only once for a service", "[settings]")
{
    const std::string twice
        = "[[machine_classes]]\nservice = \"tariff\"\nname = \"small\"\nrequests_per_second = 4.0\n";
    REQUIRE(readFaults(valid_settings + twice).size() == 1);
}

} // namespace ivypier::planner::tests
