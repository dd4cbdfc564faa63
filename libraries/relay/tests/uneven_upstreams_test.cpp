#include "base/log_event.h"
#include "uneven_fleet.h"

#include <catch2/catch.hpp>

#include <iomanip>
#include <iostream>

namespace ivypier::relay::tests {

namespace {

std::string nameOf(chooser each)
{
    switch (each) {
    case chooser::prefix_affinity:
        return "prefix_affinity";
    case chooser::expected_time:
        return "expected_time";
    case chooser::full_knowledge:
        return "full_knowledge";
    }
    return {};
}

void print(const std::string &setting, chooser selection, uneven_fleet &fleet)
{
    for (std::size_t index = 0; index < fleet.results.size(); ++index) {
        class_result &each = fleet.results[index];
        std::cout << std::left << std::setw(14) << setting << std::setw(17) << nameOf(selection)
                  << std::setw(10) << fleet.classes()[index].name << std::right << std::fixed
                  << std::setprecision(0) << "late " << std::setw(6) << each.late << " of " << std::setw(6)
                  << each.calls << "  p50 " << std::setw(5) << each.percentile(0.5) << "  p99 "
                  << std::setw(6) << each.percentile(0.99) << "  reread " << fleet.rereadTokens() / 6300.0
                  << '\n';
    }
    std::size_t before = 0;
    std::size_t during = 0;
    std::size_t after = 0;
    for (std::size_t index = 0; index < fleet.sentTo.size(); ++index) {
        for (const double at : fleet.sentTo[index]) {
            if (!fleet.isSlowEngine(index))
                continue;
            before += at >= 7500.0 && at < 12000.0 ? 1 : 0;
            during += at >= 14000.0 && at < 18500.0 ? 1 : 0;
            after += at >= 19500.0 && at < 24000.0 ? 1 : 0;
        }
    }
    std::cout << "to slow engines, in 4.5 s before, after 2 s, afterwards: " << before << ' ' << during << ' '
              << after << '\n';
}

} // namespace

TEST_CASE("late calls at uneven upstreams, by selector", "[.table][.uneven]")
{
    configureLog("tests", log_level::error);
    for (const std::size_t slow : {0, 1}) {
        for (const chooser selection :
             {chooser::prefix_affinity, chooser::expected_time, chooser::full_knowledge}) {
            fleet_options options;
            options.slowFactor = slow > 0 ? 7.5 : 1.0;
            uneven_fleet fleet(selection, options);
            fleet.run();
            print(slow > 0 ? "uneven, slow" : "uneven", selection, fleet);
        }
    }
    for (const chooser selection :
         {chooser::prefix_affinity, chooser::expected_time, chooser::full_knowledge}) {
        fleet_options options;
        options.slowFactor = 1.0;
        options.speeds = {1.0};
        uneven_fleet fleet(selection, options);
        fleet.run();
        print("alike", selection, fleet);
    }
}

} // namespace ivypier::relay::tests
