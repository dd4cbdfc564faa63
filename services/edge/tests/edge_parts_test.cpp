#include "../caller_lookup.h"
#include "../edge_settings.h"
#include "../peer_feed_codec.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::edge;

namespace {

const std::string validSettings = R"(name = "edge-1"
failure_domain = "hall-a"
region = "almaty"
callers = "10.1.0.1:8221"
readiness = "10.1.0.1:8224"
lookups = "10.1.0.1:8220"
control = "10.1.0.1:8229"
metrics = "10.1.0.1:9464"
gossip_port = 7600
fleet_port = 7601
seeds = ["10.1.0.1:8229", "10.2.0.1:8229"]
fleet_key = "a passphrase of a fleet"
store = "10.200.1.7:8225"
cloud = "10.200.0.35:8225"
descriptors = 4100
stop_within_ms = 8000
lookup_lifetime_ms = 1000
lease_term_ms = 4000
usage_window_ms = 5000
repeat_ratio = 0.2
repeat_slack = 56
repeat_window_ms = 10000
limit_tolerance = 110000
)";

std::vector<std::string> faultPaths(const std::string &text)
{
    std::vector<std::string> paths;
    const auto read = readEdgeSettings(text);
    if (const auto *faults = std::get_if<std::vector<settings_error>>(&read)) {
        for (const settings_error &each : *faults)
            paths.push_back(each.path);
    }
    return paths;
}

membership::member nodeIn(const std::string &domain, std::uint16_t port,
                          membership::member_state state = membership::member_state::alive)
{
    membership::member result;
    result.id = port;
    result.address = {"10.0.0.1", port};
    result.failureDomain = domain;
    result.state = state;
    return result;
}

} // namespace

TEST_CASE("a deployment without the bounds of rollouts has none, and one with all of them has")
{
    const auto without = readEdgeSettings(validSettings);
    REQUIRE(std::holds_alternative<edge_settings>(without));
    CHECK_FALSE(std::get<edge_settings>(without).hasRollouts());
    // The template writes 0 for a bound that the platform does not state.
    const auto empty
        = readEdgeSettings(validSettings + "exposure_share = 0\nexposure_tolerance = 0\nrollback_ms = 0\n");
    REQUIRE(std::holds_alternative<edge_settings>(empty));
    CHECK_FALSE(std::get<edge_settings>(empty).hasRollouts());
    const auto with = readEdgeSettings(
        validSettings + "exposure_share = 0.1\nexposure_tolerance = 50\nrollback_ms = 5000\n");
    REQUIRE(std::holds_alternative<edge_settings>(with));
    CHECK(std::get<edge_settings>(with).hasRollouts());
    CHECK(std::get<edge_settings>(with).exposureTolerance == 50.0);
    CHECK(std::get<edge_settings>(with).rollbackTime == std::chrono::seconds(5));
    CHECK(faultPaths(validSettings + "exposure_share = 1.5\n") == std::vector<std::string>{"exposure_share"});
}

TEST_CASE("readEdgeSettings() returns the settings or all faults")
{
    const auto read = readEdgeSettings(validSettings);
    REQUIRE(std::holds_alternative<edge_settings>(read));
    CHECK(std::get<edge_settings>(read).seeds.size() == 2);
    CHECK(std::get<edge_settings>(read).retrySlack == 56.0);
    CHECK(std::get<edge_settings>(read).limitTolerance == 110000.0);
    CHECK(faultPaths("name = 1\n" + validSettings.substr(validSettings.find('\n') + 1))
          == std::vector<std::string>{"name"});
    CHECK(faultPaths(validSettings + "unheard_of = 1\n") == std::vector<std::string>{"unheard_of"});
    CHECK(faultPaths("").size() >= 10);
}

// Guards against a misspelt selection that silently leaves the default in force.
TEST_CASE("upstream_selection names one of two selectors, by default the one by calls in flight")
{
    const auto selectionOf = [](const std::string &text) {
        const auto read = readEdgeSettings(text);
        REQUIRE(std::holds_alternative<edge_settings>(read));
        return std::get<edge_settings>(read).selection;
    };
    CHECK(selectionOf(validSettings) == upstream_selection::prefix_affinity);
    CHECK(selectionOf(validSettings + "upstream_selection = \"expected_time\"\n")
          == upstream_selection::expected_time);
    CHECK(selectionOf(validSettings + "upstream_selection = \"prefix_affinity\"\n")
          == upstream_selection::prefix_affinity);
    CHECK(faultPaths(validSettings + "upstream_selection = \"random\"\n")
          == std::vector<std::string>{"upstream_selection"});
}

TEST_CASE("a look-up returns nodes of the caller's failure domain if there are enough, otherwise all")
{
    const std::vector<membership::member> members{nodeIn("a", 1), nodeIn("a", 2), nodeIn("b", 3),
                                                  nodeIn("b", 4, membership::member_state::leaving),
                                                  nodeIn("c", 5, membership::member_state::suspect)};
    CHECK(addressesFor(members, "a").size() == 2);
    CHECK(addressesFor(members, "b").size() == 3);
    CHECK(addressesFor(members, "elsewhere").size() == 3);
    CHECK(addressesFor({}, "a").empty());
}

TEST_CASE("a look-up leaves out nodes that reach no upstream, unless there are no others")
{
    std::vector<membership::member> members{nodeIn("a", 1), nodeIn("a", 2), nodeIn("b", 3)};
    std::set<std::string> all;
    for (membership::member &each : members) {
        each.name = each.address.text();
        all.insert(each.name);
    }
    const std::string first = members.front().name;
    CHECK(addressesFor(members, "a", {first}) == std::vector{members[1].address, members[2].address});
    CHECK(addressesFor(members, "a", all).size() == 3);
}

TEST_CASE("rows of a table survive an encode and decode round trip")
{
    const transferred_rows rows{{{{"a", 3, "{\"x\":1}", false}, {"b", 9, "", true}, {"c", 4, "", false}}, 12},
                                {{"c", {7, 9, {{8, std::string("\x00\xff", 2)}, {9, "part"}}}}}};
    const auto read = decodeRows(encodeRows(rows));
    REQUIRE(read);
    CHECK(read.value() == rows);
    CHECK_FALSE(decodeRows("nonsense"));
    CHECK_FALSE(decodeRows(R"({"version":1,"rows":[{"key":"c","packed":{"parts":[{"content":"?"}]}}]})"));
}
