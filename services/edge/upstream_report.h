#pragma once

#include "relay/upstream_directory.h"
#include "relay/upstream_selector.h"

#include <json/value.h>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace ivypier::edge {

/// What a node knows of its upstreams. Every referenced object must outlive the call.
struct upstream_knowledge
{
    const relay::upstream_directory &upstreams;
    const relay::upstream_selector &selector;
    std::map<std::string, std::pair<double, duration>> limits; ///< calls per second and age, by upstream
    std::map<std::string, std::set<std::string>> listedVersions; ///< by service
    time_point now{};
};

/// Returns a JSON array with an object for each upstream: `id`, `service`, `version`, `is_version_listed`
/// (resumable streams may begin at it), `failure_domain`, `state` (`ready`, `leaving`, `waits` or
/// `set_aside`), `calls_of_node`, `calls` (of all nodes), `slots`, `wait_ms`, `limit_per_second` and
/// `limit_age_ms` (0: none).
Json::Value reportUpstreams(const upstream_knowledge &known);

} // namespace ivypier::edge
