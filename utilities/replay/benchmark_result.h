#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::replay {

enum class target_kind { at_most, at_least };

/// Bound that a measured value must satisfy.
struct result_target
{
    target_kind kind = target_kind::at_most;
    double bound = 0.0;

    auto operator<=>(const result_target &) const = default;
};

/// One measured value of a benchmark.
struct benchmark_result
{
    std::string experiment;
    std::string trace;
    std::string variant; ///< policy or setting under test
    std::string metric; ///< name and unit
    double value = 0.0;
    std::optional<result_target> target;

    auto operator<=>(const benchmark_result &) const = default;

    /// Returns true if there is no target or the value meets it.
    bool meetsTarget() const;
};

/// Formats a plain-text table with a header and one line per result.
std::string textTable(const std::vector<benchmark_result> &results);

/// Formats the results as a JSON array of objects.
std::string jsonTable(const std::vector<benchmark_result> &results);

} // namespace ivypier::replay
