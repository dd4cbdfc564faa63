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

/// The settings of one planner. Immutable once read.
struct planner_settings
{
    std::string name;
    endpoint address; ///< of `/metrics` and `/status`
    std::string failureDomain;
    std::string vm; ///< this VM's id at the platform; empty: the name
    endpoint platform;
    duration configurationInterval{};
    duration leaseTerm{};
    std::size_t candidates = 0; ///< planners that watch one duty
    std::map<std::string, std::vector<placement::class_capacity>> capacities; ///< by service
    std::map<std::string, double> minRequestsPerSecond; ///< by service
    placement::capacity_options capacity;
    placement::runner_controller_options orders;

    bool operator==(const planner_settings &) const = default;
};

/// Reads and checks a planner's settings: all of them, or every fault.
std::variant<planner_settings, std::vector<settings_error>> readPlannerSettings(std::string_view text);

} // namespace ivypier::planner
