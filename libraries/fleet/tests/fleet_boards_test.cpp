#include "fake_membership.h"
#include "fleet/load_board.h"
#include "fleet/quota_board.h"
#include "fleet/run_board.h"
#include "fleet/told_numbers.h"
#include "fleet/work_board.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

/// Two nodes that see each other.
struct two_nodes
{
    two_nodes()
    {
        first.see(2, membership::member_state::alive);
        second.see(1, membership::member_state::alive);
    }

    virtual_scheduler time;
    seeded_random randomness{5};
    admission::fake_network network{time, randomness, 100ms};
    admission::fake_network::view first{network, 1};
    admission::fake_network::view second{network, 2};
};

} // namespace

TEST_CASE("numbers that are told come back, as many as fit")
{
    rc::check([](const std::map<std::string, std::uint64_t> &drawn) {
        std::map<std::string, std::uint64_t> numbers;
        for (const auto &[name, number] : drawn)
            numbers["n" + std::to_string(name.size()) + std::to_string(numbers.size())] = number;
        const std::string text = encodeNumbers(numbers);
        RC_ASSERT(text.size() <= told_text_limit);
        for (const auto &[name, number] : decodeNumbers(text))
            RC_ASSERT(numbers.at(name) == number);
    });
    rc::check([](const std::string &text) { static_cast<void>(decodeNumbers(text)); });
    CHECK(decodeNumbers("a=1 b= c=x d=4") == std::map<std::string, std::uint64_t>{{"a", 1}, {"d", 4}});
}

TEST_CASE("runs of all nodes are added up, those of a node that ended too")
{
    two_nodes with;
    relay::run_counter ownFirst(5000);
    relay::run_counter ownSecond(5000);
    run_board first(with.first, ownFirst);
    run_board second(with.second, ownSecond);
    ownFirst.count("a", 7000);
    ownSecond.count("a", 7000);
    ownSecond.count("b", 12000);
    second.publish(2);
    with.time.advance(1s);
    with.first.see(2, membership::member_state::dead);
    CHECK(first.total(1) == relay::run_counts{{"a", 2}});
    CHECK(first.total(2) == relay::run_counts{{"b", 1}});
    CHECK(first.total(3).empty());
}

TEST_CASE("windows that can't be read are left out")
{
    rc::check([](const std::string &text) { static_cast<void>(run_board::decode(text)); });
    const std::map<std::int64_t, relay::run_counts> windows{{7, {{"a", 1}, {"b", 2}}}, {8, {{"a", 3}}}};
    CHECK(run_board::decode(run_board::encode(windows)) == windows);
    CHECK(run_board::decode("x a=1;7 a=1 b=x") == std::map<std::int64_t, relay::run_counts>{{7, {{"a", 1}}}});
}

TEST_CASE("together nodes take a limit's rate, whichever of them is asked")
{
    two_nodes with;
    relay::unit_quota ownFirst(with.time);
    relay::unit_quota ownSecond(with.time);
    quota_board first(with.first, ownFirst, with.time);
    quota_board second(with.second, ownSecond, with.time);
    for (relay::unit_quota *each : {&ownFirst, &ownSecond}) {
        each->setNodes(2);
        each->setAccounts({{"a", {}, std::nullopt, 1000.0, 1000.0, true, 1.0}});
    }
    double taken = 0.0;
    constexpr int seconds = 40;
    for (int round = 0; round < seconds * 100; ++round) {
        with.time.advance(10ms);
        if (round % 40 == 0) {
            first.update();
            second.update();
        }
        for (relay::unit_quota *each : {&ownFirst, &ownSecond}) {
            if (each->take("a", 50.0) == duration::zero())
                taken += 50.0;
        }
    }
    // The rate and the burst, and what two nodes take before they hear of each other.
    CHECK(taken <= 1000.0 * (seconds + 1) * 1.1);
    CHECK(taken >= 1000.0 * seconds * 0.9);
}

TEST_CASE("one node alone may use a limit that nobody else wants, up to twice its equal part")
{
    two_nodes with;
    relay::unit_quota own(with.time);
    own.setNodes(2);
    own.setAccounts({{"a", {}, std::nullopt, 1000.0, 1000.0, true, 1.0}});
    with.time.advance(5s);
    double taken = 0.0;
    for (int round = 0; round < 1000; ++round) {
        with.time.advance(10ms);
        if (own.take("a", 10.0) == duration::zero())
            taken += 10.0;
    }
    CHECK(taken >= 9500.0);
}

TEST_CASE("load and work of other nodes are known from what they told")
{
    two_nodes with;
    relay::upstream_directory upstreams(with.time);
    upstreams.put({"up", "s", {}, "hall", 4});
    upstreams.callBegins("up", 10);
    upstreams.callBegins("up", 10);
    load_board second(with.second, upstreams);
    second.update();
    relay::upstream_directory idle(with.time);
    load_board first(with.first, idle);
    with.time.advance(1s);
    first.update();
    CHECK(first.othersLoad("up") == 2.0);
    CHECK(first.othersLoad("other") == 0.0);

    relay::work_meter meter(with.time);
    for (int call = 0; call < 20; ++call) {
        meter.sent("s", 2000);
        meter.firstEvent("s", 2000, 100ms);
    }
    with.time.advance(600ms);
    work_board teller(with.second, meter);
    teller.publish();
    with.time.advance(1s);
    relay::work_meter none(with.time);
    const auto total = work_board(with.first, none).total();
    REQUIRE(total.contains("s"));
    CHECK(total.at("s").engineSpeed == Approx(20000.0));
    CHECK(total.at("s").tokensPerSecond > 1000.0);
}

TEST_CASE("with many accounts the newest windows are told and the fact keeps its bound")
{
    std::map<std::int64_t, relay::run_counts> windows;
    for (std::int64_t window = 7; window <= 9; ++window) {
        for (int account = 0; account < 16; ++account)
            windows[window]["account" + std::to_string(account)] = 123;
    }
    const std::string text = run_board::encode(windows);
    CHECK(text.size() <= told_text_limit);
    const auto told = run_board::decode(text);
    REQUIRE(told.contains(9));
    CHECK(told.at(9) == windows.at(9));
}
