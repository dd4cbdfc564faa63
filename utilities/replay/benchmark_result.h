#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::replay {

enum class target_kind { at_most, at_least };

/// A bound that a benchmark_result is held against.
struct result_target
{
    target_kind kind = target_kind::at_most;
    double bound = 0.0;

    auto operator<=>(const result_target &) const = default;
};

/// One measured formatNumber.
struct benchmark_result
{
    std::string experiment;
    std::string trace;
    std::string variant; ///< the policy or setting measured
    std::string metric; ///< with its unit
    double value = 0.0;
    std::optional<result_target> target;

    auto operator<=>(const benchmark_result &) const = default;

    /// True when there is no target or the value keeps it.
    bool meetsTarget() const;
};

/// A table in plain text, one line a benchmark_result.
std::string textTable(const std::vector<benchmark_result> &results);

/// A JSON array of objects.
std::string jsonTable(const std::vector<benchmark_result> &results);

} // namespace ivypier::replay
