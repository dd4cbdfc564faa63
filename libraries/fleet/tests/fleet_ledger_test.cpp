#include "base/virtual_scheduler.h"
#include "fleet/fleet_ledger.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

told_number taken(const std::string &account, std::uint64_t units)
{
    return {number_kind::taken, account, 0, units};
}

told_number load(const std::string &upstream, std::uint64_t calls)
{
    return {number_kind::load, upstream, 0, calls};
}

told_number runs(const std::string &account, std::int64_t window, std::uint64_t count)
{
    return {number_kind::runs, account, window, count};
}

} // namespace

TEST_CASE("runs of all nodes are added up, those of a node that ended too")
{
    virtual_scheduler time;
    fleet_ledger ledger(time);
    ledger.take(1, 1, {runs("a", 1, 1)});
    ledger.take(2, 1, {runs("a", 1, 1), runs("b", 2, 1)});
    time.advance(20s);
    ledger.take(1, 2, {runs("a", 1, 4)});
    CHECK(ledger.runsIn(1) == relay::run_counts{{"a", 5}});
    CHECK(ledger.runsIn(2) == relay::run_counts{{"b", 1}});
    CHECK(ledger.runsIn(3).empty());
    ledger.forgetBefore(2);
    CHECK(ledger.runsIn(1).empty());
}

TEST_CASE("a count that comes late or twice changes nothing")
{
    virtual_scheduler time;
    fleet_ledger ledger(time);
    ledger.take(1, 2, {runs("a", 1, 5), load("up", 3)});
    ledger.take(1, 1, {runs("a", 1, 2), load("up", 9)});
    ledger.take(1, 2, {runs("a", 1, 5)});
    CHECK(ledger.runsIn(1) == relay::run_counts{{"a", 5}});
    CHECK(ledger.totalsWithout(2) == std::vector<told_number>{load("up", 3)});
}

TEST_CASE("loads are those of the last round, without the asker's own")
{
    virtual_scheduler time;
    fleet_ledger ledger(time);
    ledger.take(1, 1, {load("up", 3), load("other", 1)});
    ledger.take(2, 1, {load("up", 4)});
    CHECK(ledger.totalsWithout(2) == std::vector<told_number>{load("other", 1), load("up", 3)});
    ledger.take(1, 2, {load("up", 1)});
    CHECK(ledger.totalsWithout(2) == std::vector<told_number>{load("up", 1)});
    CHECK(ledger.totalsWithout(3) == std::vector<told_number>{load("up", 5)});
}

TEST_CASE("loads and work of a node that fell silent are left out")
{
    virtual_scheduler time;
    fleet_ledger ledger(time);
    ledger.take(1, 1, {load("up", 3), {number_kind::work, "s", 0, 500}, {number_kind::speed, "s", 0, 90}});
    for (int round = 1; round <= 10; ++round) {
        time.advance(500ms);
        ledger.take(2, static_cast<std::uint64_t>(round), {load("up", 1), {number_kind::work, "s", 0, 100}});
    }
    CHECK(ledger.totalsWithout(3) == std::vector<told_number>{load("up", 1)});
    CHECK(ledger.work().at("s").tokensPerSecond == 100.0);
    CHECK(ledger.work().at("s").engineTokensPerSecond == 0.0);
}

TEST_CASE("units that nodes took before the ledger began are not counted, those of a later node are")
{
    virtual_scheduler time;
    fleet_ledger ledger(time);
    ledger.take(1, 7, {taken("a", 1000)});
    CHECK(ledger.totalsWithout(9).empty());
    for (std::uint64_t round = 8; round <= 18; ++round) {
        time.advance(400ms);
        ledger.take(1, round, {taken("a", 1000 + round)});
    }
    CHECK(ledger.totalsWithout(9) == std::vector<told_number>{taken("a", 18)});
    ledger.take(2, 1, {taken("a", 50)});
    CHECK(ledger.totalsWithout(1) == std::vector<told_number>{taken("a", 50)});
    CHECK(ledger.totalsWithout(2) == std::vector<told_number>{taken("a", 18)});
}

TEST_CASE("a ledger that nobody told anything for a while begins anew")
{
    virtual_scheduler time;
    fleet_ledger ledger(time);
    ledger.take(1, 1, {taken("a", 10), load("up", 2)});
    time.advance(10s);
    ledger.take(2, 1, {taken("a", 5000)});
    CHECK(ledger.totalsWithout(9).empty());
    ledger.take(2, 2, {taken("a", 5100)});
    CHECK(ledger.totalsWithout(9) == std::vector<told_number>{taken("a", 100)});
}
