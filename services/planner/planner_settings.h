#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/settings_reader.h"
#include "placement/capacity_controller.h"
#include "placement/runner_controller.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace ivypier::planner {

/// The settings of one planner; not changed once read.
struct planner_settings
{
    std::string name;
    endpoint address; ///< where `/metrics` and `/status` are served
    std::string failureDomain;
    std::string vm; ///< this VM's id at the platform (default: the name)
    endpoint platform;
    duration configurationInterval{};
    duration leaseTerm{};
    std::size_t candidates = 0; ///< planners that compete for each lease
    std::map<std::string, std::vector<placement::class_capacity>> capacities; ///< by service
    std::map<std::string, double> minRequestsPerSecond; ///< by service
    placement::capacity_options capacity;
    placement::runner_controller_options orders;

    bool operator==(const planner_settings &) const = default;
};

/// Reads and validates a planner's settings. Returns them, or every fault found.
std::variant<planner_settings, std::vector<settings_error>> readPlannerSettings(std::string_view text);

} // namespace ivypier::planner
