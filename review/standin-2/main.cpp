// The cases 6 to 10 that are scripts.
//
//   trial CASE COMMAND FOLDER TROUBLE
//
// COMMAND: of a node, from the deploy file; FOLDER: a temporary one; TROUBLE: 1 or 0. Writes
// FOLDER/record.txt. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "failed_runs.h"
#include "lapsed_rows.h"
#include "limited_runners.h"
#include "spaced_ids.h"
#include "two_versions.h"

int main(int argc, char **argv)
{
    constexpr int couldNotRun = 2;
    if (argc != 5)
        return couldNotRun;
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    const bool hasTrouble = std::string(argv[4]) != "0";
    if (name == "two_versions")
        return trial::two_versions::run(argv[2], argv[3], hasTrouble);
    if (name == "lapsed_rows")
        return trial::lapsed_rows::run(argv[2], argv[3], hasTrouble);
    if (name == "limited_runners")
        return trial::limited_runners::run(argv[2], argv[3], hasTrouble);
    if (name == "spaced_ids")
        return trial::spaced_ids::run(argv[2], argv[3], hasTrouble);
    if (name == "failed_runs")
        return trial::failed_runs::run(argv[2], argv[3], hasTrouble);
    return couldNotRun;
}
