#include "released_fleet.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

namespace {

/// What happens before and while all nodes are killed.
enum class loss {
    once,
    twice, ///< again 4 s later
    recorder_before, ///< the recorder of most records 3 s before
    slow_table, ///< each access takes up to 1.6 s, from 3 s before on
    silent_table, ///< no access gets a response, from 2 s before until 2 s after
    restored_table, ///< the table is back from a copy of 3 s before, 1 s before
    three_versions, ///< after a third version appeared, while the first one still serves
};

constexpr loss all_losses[]
    = {loss::once,         loss::twice,          loss::recorder_before, loss::slow_table,
       loss::silent_table, loss::restored_table, loss::three_versions};

const char *name(loss each)
{
    switch (each) {
    case loss::once:
        return "once";
    case loss::twice:
        return "twice in 4 s";
    case loss::recorder_before:
        return "recorder 3 s before";
    case loss::slow_table:
        return "table slow";
    case loss::silent_table:
        return "table silent 4 s";
    case loss::restored_table:
        return "table restored";
    case loss::three_versions:
        return "three versions";
    }
    return "";
}

double streamsPerSecond(std::size_t nodes)
{
    return std::min(6.0 * static_cast<double>(nodes), 1200.0);
}

/// Runs a release, kills all nodes and lets callers come back for 10 s.
std::unique_ptr<released_fleet> played(std::size_t nodes, loss each, std::uint64_t seed = 1)
{
    auto fleet = std::make_unique<released_fleet>(nodes, seed);
    const double rate = streamsPerSecond(nodes);
    fleet->table.startCopies(200ms);
    fleet->run(4s, rate);
    fleet->setServing("v2", true);
    fleet->run(each == loss::three_versions ? 3s : 5s, rate);
    if (each == loss::three_versions) {
        fleet->setServing("v3", true);
        fleet->run(3s, rate);
    }
    if (each == loss::recorder_before) {
        fleet->kill(fleet->busiestRecorder());
        fleet->run(3s, rate);
    }
    if (each == loss::slow_table) {
        fleet->table.faults.maxDelay = 800ms;
        fleet->run(3s, rate);
    }
    if (each == loss::silent_table) {
        fleet->table.faults.lostRequest = 1.0;
        fleet->run(2s, rate);
        fleet->time.after(2s, [&table = fleet->table] { table.faults.lostRequest = 0.0; });
    }
    if (each == loss::restored_table) {
        fleet->table.restore(3s);
        fleet->run(1s, rate);
    }
    fleet->killAll();
    if (each == loss::twice) {
        fleet->run(4s, rate);
        fleet->killAll();
    }
    fleet->time.advance(10s);
    return fleet;
}

} // namespace

TEST_CASE("streams of large fleets go on after the loss of all nodes", "[slow]")
{
    for (const std::size_t nodes : {73U, 295U, 1600U}) {
        for (const loss each : {loss::once, loss::twice, loss::restored_table, loss::three_versions}) {
            INFO(nodes << " nodes, " << name(each));
            const auto fleet = played(nodes, each);
            REQUIRE(fleet->result.resumed >= 12);
            CHECK(fleet->continuedShare() >= 0.9);
            CHECK(fleet->result.joined == 0);
        }
    }
}

// Records that wait for the table are lost with the nodes.
TEST_CASE("streams go on after the loss of all nodes while the table is slow or silent", "[slow]")
{
    for (const std::size_t nodes : {8U, 73U}) {
        for (const loss each : {loss::slow_table, loss::silent_table}) {
            INFO(nodes << " nodes, " << name(each));
            const auto fleet = played(nodes, each);
            CHECK(fleet->continuedShare() >= 0.9);
            CHECK(fleet->result.joined == 0);
        }
    }
}

TEST_CASE("table of the loss of all nodes during a release", "[.table]")
{
    std::printf("%-20s %6s %8s %8s %9s %7s %9s %9s %7s %8s %8s\n", "all nodes killed", "nodes", "begun",
                "resumed", "continued", "joined", "writes/s", "KB wr./s", "reads", "KB/read", "dropped");
    for (const loss each : all_losses) {
        for (const std::size_t nodes : {8U, 73U, 295U, 1600U}) {
            const auto fleet = played(nodes, each);
            const origin_counters counted = fleet->recorderCounts();
            std::map<std::int64_t, std::size_t> writes; // by second
            for (const auto &write : fleet->table.appliedWrites) {
                if (write.row.key.starts_with("origins/"))
                    ++writes[milliseconds(write.at.time_since_epoch()) / 1000];
            }
            std::size_t most = 0;
            for (const auto &[second, count] : writes)
                most = std::max(most, count);
            const double written = static_cast<double>(counted.bytesWritten) / 1024.0;
            const double read = static_cast<double>(counted.bytesRead) / 1024.0;
            std::printf("%-20s %6zu %8zu %8zu %9.3f %7zu %9zu %9.0f %7llu %8.0f %8llu\n", name(each), nodes,
                        fleet->result.begun, fleet->result.resumed, fleet->continuedShare(),
                        fleet->result.joined, most,
                        written / static_cast<double>(std::max<std::size_t>(writes.size(), 1)),
                        static_cast<unsigned long long>(counted.reads),
                        read / static_cast<double>(std::max<std::uint64_t>(counted.reads, 1)),
                        static_cast<unsigned long long>(counted.dropped));
            std::fflush(stdout);
        }
    }
}
