#include "base/log_event.h"
#include "simulated_rollout.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace ivypier;
using namespace ivypier::delivery;
using namespace ivypier::delivery::tests;
using namespace std::chrono_literals;

namespace {

/// Sizes with the average age of their evidence. The exposure bound of a rollout grows with its length, so
/// that one of 12 s can't hold it where evidence is over a second old.
std::vector<rollout_case> sizes()
{
    return {{8, 300.0, 12s, 400ms, 200ms},
            {62, 300.0, 12s, 400ms, 200ms},
            {295, 600.0, 30s, 1200ms, 400ms},
            {1600, 3000.0, 60s, 2500ms, 800ms}};
}

constexpr std::array<const char *, 8> badness_names{"good",      "at once", "later", "under load",
                                                    "one route", "slow",    "gaps",  "no answer"};
constexpr std::array<const char *, 7> disturbance_names{
    "-", "burst", "nodes killed", "domain lost", "holder killed", "store silent", "third partitioned"};

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *const text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

struct table_line
{
    double worstExposure = 0.0; ///< relative to the bound
    std::uint64_t overExposure = 0;
    std::uint64_t callsAfterBound = 0;
    std::uint64_t callsAfterRollback = 0;
    double longestRollback = 0.0;
    std::uint64_t wrong = 0; ///< good versions rolled back or bad ones completed
    std::uint64_t late = 0;
    std::uint64_t brokenStreams = 0;
    std::string example;
};

table_line play(rollout_case wanted, std::uint64_t seeds)
{
    table_line line;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        wanted.seed = seed;
        const rollout_result result = simulated_rollout(wanted).run();
        const bool isGood = wanted.bad == badness::good;
        const rollout_state right = isGood ? rollout_state::completed : rollout_state::rolled_back;
        if (result.state != right) {
            ++line.wrong;
            line.example = "seed " + std::to_string(seed) + ' ' + result.reason;
        } else if (!result.isInTime) {
            ++line.late;
        }
        line.callsAfterRollback += result.callsAfterRollback;
        line.brokenStreams += result.brokenStreams;
        if (isGood)
            continue;
        const double exposure = static_cast<double>(result.exposed) / result.exposureBound;
        if (exposure > line.worstExposure && exposure > 1.0)
            line.example += " over: seed " + std::to_string(seed) + ' ' + result.reason;
        line.worstExposure = std::max(line.worstExposure, exposure);
        line.overExposure += result.isWithinExposure() ? 0 : 1;
        line.callsAfterBound += result.callsAfterBound;
        line.longestRollback = std::max(line.longestRollback, result.rollbackSeconds);
    }
    return line;
}

} // namespace

TEST_CASE("table of rollouts over seeds", "[.table]")
{
    configureLog("tests", log_level::error);
    const std::uint64_t seeds = numberFrom("IVYPIER_TABLE_SEEDS", 20);
    const std::uint64_t onlyNodes = numberFrom("IVYPIER_TABLE_NODES", 0);
    const std::uint64_t onlyTarget = numberFrom("IVYPIER_TABLE_TARGET", badness_names.size());
    std::printf("%6s %-11s %-18s %8s %6s %6s %6s %8s %6s %5s %7s\n", "nodes", "target", "disturbance",
                "exposure", "over", "bound", "after", "rollback", "wrong", "late", "broken");
    for (const rollout_case &size : sizes()) {
        if (onlyNodes != 0 && onlyNodes != size.nodes)
            continue;
        for (std::size_t bad = 0; bad < badness_names.size(); ++bad) {
            if (onlyTarget != badness_names.size() && onlyTarget != bad)
                continue;
            for (std::size_t disturbed = 0; disturbed < disturbance_names.size(); ++disturbed) {
                rollout_case wanted = size;
                wanted.bad = static_cast<badness>(bad);
                wanted.disturbed = static_cast<disturbance>(disturbed);
                const table_line line = play(wanted, seeds);
                std::printf("%6zu %-11s %-18s %8.2f %6zu %6zu %6zu %8.2f %6zu %5zu %7.1f  %s\n", size.nodes,
                            badness_names[bad], disturbance_names[disturbed], line.worstExposure,
                            static_cast<std::size_t>(line.overExposure),
                            static_cast<std::size_t>(line.callsAfterBound),
                            static_cast<std::size_t>(line.callsAfterRollback), line.longestRollback,
                            static_cast<std::size_t>(line.wrong), static_cast<std::size_t>(line.late),
                            static_cast<double>(line.brokenStreams) / static_cast<double>(seeds),
                            line.example.c_str());
                std::fflush(stdout);
            }
        }
    }
}

TEST_CASE("log of one rollout", "[.trace]")
{
    configureLog("tests", log_level::info);
    for (const rollout_case &size : sizes()) {
        if (size.nodes != numberFrom("IVYPIER_TABLE_NODES", 8))
            continue;
        rollout_case wanted = size;
        wanted.bad = static_cast<badness>(numberFrom("IVYPIER_TABLE_TARGET", 0));
        wanted.disturbed = static_cast<disturbance>(numberFrom("IVYPIER_TABLE_DISTURBANCE", 0));
        wanted.seed = numberFrom("IVYPIER_SEED", 1);
        const rollout_result result = simulated_rollout(wanted).run();
        std::printf("%s after %.2f s, %zu of %zu calls, bound %.0f, %s\n", name(result.state).data(),
                    result.endedAt, static_cast<std::size_t>(result.exposed),
                    static_cast<std::size_t>(result.calls), result.exposureBound, result.reason.c_str());
    }
}
