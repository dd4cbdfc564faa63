#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::replay {

enum class target_kind { at_most, at_least };

/// A bound that a figure is held against.
struct figure_target
{
    target_kind kind = target_kind::at_most;
    double bound = 0.0;

    auto operator<=>(const figure_target &) const = default;
};

/// One measured number.
struct figure
{
    std::string experiment;
    std::string trace;
    std::string variant; ///< the policy or setting measured
    std::string metric; ///< with its unit
    double value = 0.0;
    std::optional<figure_target> target;

    auto operator<=>(const figure &) const = default;

    /// True when there is no target or the value keeps it.
    bool isMet() const;
};

/// A table in plain text, one line a figure.
std::string textTable(const std::vector<figure> &figures);

/// A JSON array of objects.
std::string jsonTable(const std::vector<figure> &figures);

} // namespace ivypier::replay
