#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace ivypier::delivery {

/// The versions of a service at which one new call may run. The filter of a service without a rollout allows
/// all.
struct version_filter
{
    std::set<std::string> only; ///< versions that may be used; empty: all but the excluded ones
    std::set<std::string> excluded;
    std::uint64_t orderVersion = 0; ///< order for which the call counts as evidence; 0: none
    std::string targetVersion; ///< target of that order

    auto operator<=>(const version_filter &) const = default;

    bool mayUse(const std::string &softwareVersion) const
    {
        return (only.empty() || only.contains(softwareVersion)) && !excluded.contains(softwareVersion);
    }
};

} // namespace ivypier::delivery
