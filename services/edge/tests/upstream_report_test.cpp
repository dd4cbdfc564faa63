#include "../upstream_report.h"

#include "base/json.h"
#include "base/log_event.h"
#include "base/random_source.h"
#include "base/virtual_scheduler.h"
#include "relay/prefix_affinity_selector.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::edge;
using namespace std::chrono_literals;

TEST_CASE("the report of upstreams states version, state, calls, wait and limit of each")
{
    configureLog("tests", log_level::error);
    virtual_scheduler time;
    seeded_random randomness(1);
    relay::upstream_directory upstreams(time);
    const relay::prefix_affinity_selector selector(time, randomness, upstreams, "hall", {});
    for (const char *id : {"u-1", "u-2", "u-3"})
        upstreams.put({id, "s", {"10.0.0.1", 9100}, "hall", 4, false, false, {}, id[2] == '3' ? "v2" : "v1"});
    upstreams.recordCallStart("u-1", 0);
    upstreams.recordStatement("u-2", {.wait = 1500ms});
    upstreams.recordStatement("u-3", {.isLeaving = true});

    const Json::Value report
        = reportUpstreams({upstreams, selector, {{"u-1", {2.5, 700ms}}}, {{"s", {"v1"}}}, time.now()});
    REQUIRE(report.size() == 3);
    CHECK(report[0]["id"] == "u-1");
    CHECK(report[0]["version"] == "v1");
    CHECK(report[0]["is_version_listed"] == true);
    CHECK(report[0]["state"] == "ready");
    CHECK(report[0]["calls_of_node"].asInt() == 1);
    CHECK(report[0]["calls"].asDouble() == 1.0);
    CHECK(report[0]["slots"].asInt() == 4);
    CHECK(report[0]["limit_per_second"].asDouble() == 2.5);
    CHECK(report[0]["limit_age_ms"].asInt() == 700);
    CHECK(report[1]["state"] == "waits");
    CHECK(report[1]["wait_ms"].asInt() == 1500);
    CHECK(report[1]["limit_per_second"].asDouble() == 0.0);
    CHECK(report[2]["state"] == "leaving");
    CHECK(report[2]["is_version_listed"] == false);
}
