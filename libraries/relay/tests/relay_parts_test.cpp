#include "base/virtual_scheduler.h"
#include "relay/configuration_rows.h"
#include "relay/event_scanner.h"
#include "relay/retry_budget.h"
#include "relay/route_table.h"
#include "relay/run_counter.h"
#include "relay/unit_quota.h"
#include "relay/upstream_rows.h"
#include "relay/work_meter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ivypier;
using namespace ivypier::relay;
using namespace std::chrono_literals;

TEST_CASE("the longest matching path prefix of the host selects the route")
{
    service_map content;
    content.version = 1;
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        route each;
        each.name = prefix;
        each.host = "h";
        each.prefix = prefix;
        content.routes.push_back(each);
    }
    const route_table table(content);
    CHECK(table.findRoute("h", "/a/b/c")->name == "/a/b/");
    CHECK(table.findRoute("h", "/a/bc")->name == "/a/");
    CHECK(table.findRoute("h", "/x")->name == "/");
    CHECK(table.findRoute("other", "/x") == nullptr);
}

TEST_CASE("complete events are returned however the stream is split into chunks")
{
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";
    rc::check([&](const std::vector<std::uint8_t> &cuts) {
        event_scanner scanner;
        std::string output;
        std::size_t at = 0;
        for (const std::uint8_t cut : cuts) {
            output += scanner.feed(std::string_view(text).substr(std::min(at, text.size()), cut % 7));
            at += cut % 7;
        }
        output += scanner.feed(std::string_view(text).substr(std::min(at, text.size())));
        RC_ASSERT(output == text);
        RC_ASSERT(scanner.lastEvent() == 3U);
        RC_ASSERT(!scanner.hasGap());
    });
}

TEST_CASE("events that were already returned are dropped, and a gap in the numbers is detected")
{
    event_scanner scanner(2);
    CHECK(scanner.feed("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
    CHECK_FALSE(scanner.hasGap());
    scanner.feed("id: 5\n\n");
    CHECK(scanner.hasGap());
}

TEST_CASE("numbers that increase by more than one are no gap where events are not numbered one by one")
{
    event_scanner tokens;
    CHECK(tokens.feed("id: 3\n\nid: 6\n\nid: 11\n\n") == "id: 3\n\nid: 6\n\nid: 11\n\n");
    CHECK_FALSE(tokens.hasGap());
    CHECK(tokens.observedNumbering() == numbering::spaced);
    event_scanner resumed(6, numbering::spaced);
    resumed.feed("id: 9\n\n");
    CHECK_FALSE(resumed.hasGap());
    CHECK_FALSE(resumed.observedNumbering());
    event_scanner counted;
    counted.feed("id: 1\n\nid: 2\n\nid: 4\n\n");
    CHECK(counted.hasGap());
    CHECK(counted.observedNumbering() == numbering::consecutive);
    event_scanner lacksFirst(std::nullopt, numbering::consecutive);
    lacksFirst.feed("id: 2\n\nid: 4\n\n");
    CHECK(lacksFirst.hasGap());
}

TEST_CASE("the numbering of a version is the one that most of its streams show")
{
    event_numbering known;
    CHECK_FALSE(known.find("s", "v1"));
    known.record("s", "v1", numbering::spaced);
    CHECK(known.find("s", "v1") == numbering::spaced);
    known.record("s", "v2", numbering::consecutive);
    known.record("s", "v2", numbering::consecutive);
    known.record("s", "v2", numbering::spaced); // of a stream that lacked an event
    CHECK(known.find("s", "v2") == numbering::consecutive);
}

TEST_CASE("retries are limited by the first attempts in the window")
{
    virtual_scheduler time;
    retry_budget budget(time, {0.5, 1.0, 10s});
    for (int round = 0; round < 4; ++round)
        budget.recordFirstAttempt("s");
    int taken = 0;
    while (budget.take("s"))
        ++taken;
    CHECK(taken == 3);
    time.advance(11s);
    CHECK(budget.take("s")); // the slack of a new window
    CHECK_FALSE(budget.take("s"));
}

TEST_CASE("a restarted node leaves the retries of its first window to the process that ran before it")
{
    virtual_scheduler time;
    time.advance(1min);
    retry_budget budget(time, {0.5, 20.0, 10s, 0.1});
    const auto takeAll = [&budget] {
        int taken = 0;
        while (budget.take("s"))
            ++taken;
        return taken;
    };
    for (int call = 0; call < 20; ++call)
        budget.recordFirstAttempt("s");
    CHECK(takeAll() == 2);
    time.advance(9s);
    for (int call = 0; call < 10; ++call)
        budget.recordFirstAttempt("s");
    CHECK(takeAll() == 1);
    time.advance(1s);
    CHECK(takeAll() == 24); // half of the ten calls in the window, and the slack, less one retry
}

TEST_CASE("runs are counted in the window in which they started")
{
    run_counter runs(5000);
    runs.count("a", 4999);
    runs.count("a", 5000);
    runs.count("", 5000);
    CHECK(runs.countsOf(0) == run_counts{{"a", 1}});
    CHECK(runs.countsOf(1) == run_counts{{"a", 1}});
    runs.dropWindowsBefore(1);
    CHECK(runs.countsOf(0).empty());
}

TEST_CASE("a quota admits calls at its rate, and a call larger than the burst when the bucket is full")
{
    virtual_scheduler time;
    seeded_random randomness{5};
    unit_quota quota(time, randomness);
    quota.setNodes(1);
    client_account account{"a", {}, std::nullopt, 100.0, 50.0, true, 1.0};
    quota.setAccounts({account});
    time.advance(10s);
    CHECK(quota.take("a", 80.0) == duration::zero());
    CHECK(quota.take("a", 1.0) > duration::zero()); // the debt has to be refilled first
    double taken = 0.0;
    for (int round = 0; round < 1000; ++round) {
        time.advance(10ms);
        if (quota.take("a", 5.0) == duration::zero())
            taken += 5.0;
    }
    CHECK(taken > 900.0);
    CHECK(taken <= 1050.0);
}

TEST_CASE("a large call is eventually admitted while other nodes use units")
{
    virtual_scheduler time;
    seeded_random randomness{5};
    unit_quota quota(time, randomness);
    quota.setNodes(8);
    quota.setRemoteReporting(true, default_report_age);
    quota.setAccounts({{"a", {}, std::nullopt, 100.0, 50.0, true, 1.0}});
    bool passed = false;
    for (int round = 0; round < 300 && !passed; ++round) {
        time.advance(100ms);
        quota.recordRemoteUsage("a", 4.0);
        passed = quota.take("a", 200.0) == duration::zero();
    }
    CHECK(passed);
}

TEST_CASE(
    "a node of a large fleet admits all large calls while it receives usage reports, and fewer without them")
{
    virtual_scheduler time;
    const auto unitsGranted = [&](bool receivesReports) {
        seeded_random randomness{5};
        unit_quota quota(time, randomness);
        quota.setNodes(68);
        quota.setRemoteReporting(receivesReports, default_report_age);
        quota.setAccounts({{"a", {}, std::nullopt, 30000.0, 60000.0, true, 1.0}});
        time.advance(30s);
        double taken = 0.0;
        for (int round = 0; round < 2000; ++round) {
            time.advance(100ms);
            // At an equal share of the rate, 9,000 tokens take 20 s to refill.
            if (round % 50 == 0 && quota.take("a", 9000.0) == duration::zero())
                taken += 9000.0;
        }
        return taken;
    };
    CHECK(unitsGranted(true) == 360000.0);
    CHECK(unitsGranted(false) < 180000.0);
}

TEST_CASE("the state of a quota tells what a refusal was based on")
{
    virtual_scheduler time;
    seeded_random randomness{5};
    unit_quota quota(time, randomness);
    quota.setNodes(10);
    quota.setRemoteReporting(true, default_report_age);
    quota.setAccounts({{"a", {}, std::nullopt, 1000.0, 1000.0, true, 1.0}});
    time.advance(5s);
    quota.recordRemoteUsage("a", 1500.0);
    quota.setSilentFraction(0.2, 1s);
    CHECK(quota.take("a", 100.0) > duration::zero());
    const quota_state connected = quota.stateOf("a");
    CHECK(connected.fleetUnits < -500.0);
    CHECK(connected.remoteUnitsPerSecond == Approx(1500.0));
    CHECK(connected.silentFraction == 0.2);
    CHECK_FALSE(connected.isCutOff);
    quota.setRemoteReporting(false, default_report_age);
    CHECK(quota.stateOf("a").isCutOff);
    CHECK(quota.stateOf("unknown") == quota_state());
}

TEST_CASE("an account without a limit is never refused")
{
    virtual_scheduler time;
    seeded_random randomness{5};
    unit_quota quota(time, randomness);
    quota.setAccounts({{"a", {}, std::nullopt, 0.0, 0.0, true, 1.0}});
    CHECK(quota.take("a", 1e9) == duration::zero());
}

TEST_CASE("the engine speed is measured from calls that did not queue")
{
    virtual_scheduler time;
    work_meter meter(time);
    time.advance(1s);
    for (int call = 0; call < 64; ++call) {
        meter.recordSent("s", 4000);
        meter.recordFirstEvent("s", 4000, call % 4 == 0 ? 100ms : 700ms);
    }
    time.advance(600ms);
    const service_work work = meter.current().at("s");
    CHECK(work.engineTokensPerSecond == Approx(40000.0));
    CHECK(work.tokensPerSecond > 0.0);
    time.advance(10s);
    CHECK(meter.current().at("s").tokensPerSecond == 0.0);
}

namespace {

cloud::feed_row makeRow(const std::string &key, const std::string &value, bool removed = false)
{
    return {key, 1, value, removed};
}

} // namespace

TEST_CASE("a row that cannot be decoded adds no upstream and does not affect other rows")
{
    virtual_scheduler time;
    upstream_directory upstreams(time);
    upstream_rows rows(time, upstreams,
                       [](const std::string &id, std::string_view text) -> outcome<upstream_record> {
                           if (text == "bad")
                               return error{error_code::invalid_argument, "bad"};
                           return upstream_record{id, "s", {}, "hall"};
                       });
    CHECK(rows.onChange(makeRow("a", "good"), 0s));
    CHECK_FALSE(rows.onChange(makeRow("b", "bad"), 0s));
    CHECK(rows.onChange(makeRow("c", "good"), 0s));
    CHECK(upstreams.ready("s").size() == 2);
    CHECK_FALSE(rows.onChange(makeRow("c", "good"), 0s)); // a heartbeat
    CHECK(rows.onChange(makeRow("c", "", true), 0s));
    CHECK_FALSE(rows.onChange(makeRow("c", "", true), 0s));
}

TEST_CASE(
    "an upstream missing just after an outage is removed only if it stays missing until that is certain")
{
    virtual_scheduler time;
    upstream_directory upstreams(time);
    upstream_rows rows(time, upstreams,
                       [](const std::string &id, std::string_view) -> outcome<upstream_record> {
                           return upstream_record{id, "s", {}, "hall"};
                       });
    for (const char *id : {"a", "b", "c"})
        rows.onChange(makeRow(id, ""), 0s);
    rows.onChange(makeRow("a", "", true), 1800ms);
    rows.onChange(makeRow("b", "", true), 1800ms);
    rows.onChange(makeRow("c", "", true), 0s);
    CHECK(upstreams.ready("s").size() == 2);
    time.advance(1s);
    rows.onChange(makeRow("a", ""), 0s);
    time.advance(2s);
    REQUIRE(upstreams.ready("s").size() == 1);
    CHECK(upstreams.ready("s").front()->record.id == "a");
}

TEST_CASE("an upstream that drains does not accept calls again, whatever an older row states")
{
    virtual_scheduler time;
    upstream_directory upstreams(time);
    const upstream_record ready{"a", "s", {}, "hall"};
    upstream_record draining = ready;
    draining.draining = true;
    upstreams.put(ready);
    upstreams.put(draining);
    upstreams.put(ready);
    CHECK(upstreams.ready("s").empty());
    REQUIRE(upstreams.find("a"));
    upstreams.remove("a");
    upstreams.put(ready); // a restored store lists it until its row expires
    CHECK(upstreams.find("a") == nullptr);
    // One that vanished without draining may have been out of reach, and comes back.
    const upstream_record other{"b", "s", {}, "hall"};
    upstreams.put(other);
    upstreams.remove("b");
    upstreams.put(other);
    CHECK(upstreams.ready("s").size() == 1);
}

TEST_CASE("older and undecodable configurations are ignored")
{
    std::vector<std::uint64_t> taken;
    configuration_rows rows(
        "config",
        [](std::string_view text) -> outcome<service_map> {
            if (text.empty())
                return error{error_code::invalid_argument, "empty"};
            service_map map;
            map.version = static_cast<std::uint64_t>(text.front() - '0');
            return map;
        },
        [&](const std::shared_ptr<const route_table> &table) { taken.push_back(table->version()); });
    for (const char *text : {"3", "", "2", "3", "5"})
        rows.onChange(makeRow("config", text), 0s);
    rows.onChange(makeRow("other", "9"), 0s);
    rows.onChange(makeRow("config", "", true), 0s);
    CHECK(taken == std::vector<std::uint64_t>{3, 5});
    CHECK(rows.version() == 5);
}
