#pragma once

#include "base/outcome.h"
#include "benchmark_result.h"
#include "replay_plan.h"
#include "replay_result.h"
#include "trace.h"
#include "trace_generator.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::replay {

/// The result_list of a recorded trace's run, by account and class.
std::vector<benchmark_result> summarizeRecordedRun(const std::string &trace, const replay_result &run);

/// The measurements of the decisions on one deployment's trace, in virtual time. Every experiment is a set of
/// runs that differ in one thing.
class experiments
{
public:
    experiments(trace_parameters parameters, std::uint64_t seed, duration span);

    /// Names that run() knows, in their order.
    static std::vector<std::string> names();

    /// Runs one experiment; the error names those there are.
    outcome<std::vector<benchmark_result>> run(const std::string &experiment);

    /// The result of the run at 1.0 of capacity with the policies that the daemon uses.
    replay_result runDefaultPlan();

    /// Requests answered a second by the same engines, kept busy, with one router that knows all.
    double capacity();

private:
    using result_list = std::vector<benchmark_result>;

    trace traceAtLoad(double load);
    replay_plan plan() const;
    replay_result replay(const replay_plan &plan, double load);
    void addResult(result_list &to, const std::string &experiment, const std::string &variant,
                   const std::string &metric, double value,
                   std::optional<result_target> target = std::nullopt) const;

    result_list measureCapacity();
    result_list measureRouting();
    result_list measureStaleness();
    result_list measureAdmission();
    result_list measurePrefixes();
    result_list measureReclaim();
    result_list measureRetryStorm();

    trace_parameters m_parameters;
    std::uint64_t m_seed;
    duration m_span;
    double m_capacity = 0.0; ///< 0: not measured yet
};

} // namespace ivypier::replay
