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

/// Returns request counts and first-token times of a replayed recorded trace, by account and class.
std::vector<benchmark_result> summarizeRecordedRun(const std::string &trace, const replay_result &run);

/// Benchmarks the node's policies in virtual time on traces generated for one deployment. The runs of an
/// experiment differ only in the policy or setting under test.
class experiments
{
public:
    experiments(trace_parameters parameters, std::uint64_t seed, duration span);

    /// Returns the experiments that run() accepts, in the order in which they run.
    static std::vector<std::string> names();

    /// Runs one experiment. Fails with `not_found` if the name is unknown.
    outcome<std::vector<benchmark_result>> run(const std::string &experiment);

    /// Runs a trace at 1.0 times the capacity with the daemon's default policies.
    replay_result runDefaultPlan();

    /// Returns the answers per second of the same engines when saturated, with a single router that gets
    /// reports without delay.
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
