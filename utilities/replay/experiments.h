#pragma once

#include "base/outcome.h"
#include "figure.h"
#include "replay_plan.h"
#include "replay_result.h"
#include "trace.h"
#include "trace_generator.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::replay {

/// The figures of a recorded trace's run, by account and class.
std::vector<figure> recordedFigures(const std::string &trace, const replay_result &run);

/// The measurements of the decisions on one deployment's trace, in virtual time. Every experiment is a set of
/// runs that differ in one thing.
class experiments
{
public:
    experiments(trace_parameters parameters, std::uint64_t seed, duration span);

    /// Names that run() knows, in their order.
    static std::vector<std::string> names();

    /// Runs one experiment; the error names those there are.
    outcome<std::vector<figure>> run(const std::string &experiment);

    /// The result of the run at 1.0 of capacity with the policies that the daemon uses.
    replay_result typicalRun();

    /// Requests answered a second by the same engines, kept busy, with one router that knows all.
    double capacity();

private:
    using figures = std::vector<figure>;

    trace requestsAt(double load);
    replay_plan plan() const;
    replay_result replay(const replay_plan &plan, double load);
    void add(figures &to, const std::string &experiment, const std::string &variant,
             const std::string &metric, double value,
             std::optional<figure_target> target = std::nullopt) const;

    figures measureCapacity();
    figures measureRouting();
    figures measureStaleness();
    figures measureAdmission();
    figures measurePrefixes();
    figures measureReclaim();
    figures measureStorm();

    trace_parameters m_parameters;
    std::uint64_t m_seed;
    duration m_span;
    double m_capacity = 0.0; ///< 0: not measured yet
};

} // namespace ivypier::replay
