#include "base/log_event.h"
#include "measurement.h"
#include "program/command_line.h"

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::string, what, "all", "gossip, domain, regions, exchange, configuration or all");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the randomness");

int main(int argc, char **argv)
{
    using namespace ivypier::measurement;
    ivypier::program::parseCommandLine(
        {"measure-membership",
         "Measures membership and configuration in virtual time, with the real code.\n"
         "Prints one line of key=value pairs for each size.\n\n"
         "  measure-membership --what=gossip"},
        argc, argv);
    ivypier::configureLog("measure-membership", ivypier::log_level::error);
    const std::string what = absl::GetFlag(FLAGS_what);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const auto isSelected = [&](const char *name) { return what == "all" || what == name; };
    bool matched = false;
    bool succeeded = true;
    if (isSelected("gossip")) {
        matched = true;
        for (const std::size_t members : {8, 50, 200, 800})
            measureGossip(members, seed);
    }
    if (isSelected("domain")) {
        matched = true;
        // The members of one region, and the upstreams of one of 21 domains.
        measureDomainLoss(267, 228, seed);
    }
    if (isSelected("regions")) {
        matched = true;
        for (const std::size_t membersPerDomain : {2, 10, 30})
            measureRegions(membersPerDomain, seed);
    }
    if (isSelected("exchange")) {
        matched = true;
        for (const std::size_t members : {8, 16})
            measureExchange(members, seed);
    }
    if (isSelected("configuration")) {
        matched = true;
        for (const std::size_t upstreams : {10, 100, 500, 1200, 4800})
            succeeded = measureConfiguration(upstreams) && succeeded;
    }
    if (matched)
        return succeeded ? 0 : 1;
    std::cerr << "measure-membership: nothing is called \"" << what << "\" (see --help)\n";
    return 2;
}
