#include "configuration/service_map_check.h"
#include "configuration/service_map_difference.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ivypier;
using namespace ivypier::configuration;
using namespace std::chrono_literals;

namespace {

/// A configuration that breaks no rule.
relay::service_map soundMap()
{
    relay::service_map result;
    result.version = 3;
    result.routes = {{.name = "chat",
                      .host = "h",
                      .prefix = "/chat/",
                      .kind = relay::call_kind::resumable_stream,
                      .timeout = 2s,
                      .targetLatency = 500ms,
                      .targetGap = 400ms,
                      .targets = {{"model", 1}},
                      .attempts = 3},
                     {.name = "pay",
                      .host = "h",
                      .prefix = "/pay/",
                      .timeout = 1s,
                      .targetLatency = 150ms,
                      .targets = {{"plain", 1}}}};
    result.services
        = {{.name = "model", .engine = relay::engine_size{12, 1000}, .scaling = relay::scaling_rule{}},
           {.name = "plain", .maxConnections = 6, .scaling = relay::scaling_rule{}}};
    for (relay::service &each : result.services) {
        each.scaling->minPerDomain = 1;
        each.scaling->maxPerDomain = 4;
        each.scaling->domainPrices = {{"d1", 1.0}, {"d2", 1.0}};
    }
    result.accounts
        = {{.name = "one", .keys = {"k1", "k2"}, .unitsPerSecond = 20.0, .burst = 10.0},
           {.name = "two", .keys = {"k3"}, .unitsPerSecond = 900.0, .burst = 500.0, .countsTokens = true}};
    return result;
}

std::vector<check_finding> findingsOf(const relay::service_map &content,
                                      const check_options &options = {.callerWait = 2s})
{
    return checkServiceMap(content, options).findings();
}

/// Checks that a rule, and no other, finds one fault at a field.
void checkBroken(const relay::service_map &content, const std::string &rule, const field_reference &at,
                 check_severity severity = check_severity::error)
{
    const auto findings = findingsOf(content);
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().rule == rule);
    CHECK(findings.front().at == at);
    CHECK(findings.front().severity == severity);
    CHECK_FALSE(findings.front().text.empty());
}

} // namespace

TEST_CASE("a sound configuration breaks no rule")
{
    CHECK(findingsOf(soundMap()).empty());
}

TEST_CASE("a route without a host is found")
{
    relay::service_map content = soundMap();
    content.routes[1].host.clear();
    checkBroken(content, "host_empty", {checked_field::route_host, 1});
}

TEST_CASE("an equal prefix on the same host is found, and on another host it is not")
{
    relay::service_map content = soundMap();
    content.routes[1].prefix = "/chat/";
    checkBroken(content, "prefix_twice", {checked_field::route_prefix, 1});
    content.routes[1].host = "other";
    CHECK(findingsOf(content).empty());
}

TEST_CASE("a route to a service that is not there is found, also in a split")
{
    relay::service_map content = soundMap();
    content.routes[0].targets.push_back({"gone", 2});
    checkBroken(content, "service_unknown", {checked_field::route_target, 0, 1});
}

TEST_CASE("a timeout over what callers wait is found if their wait is known")
{
    relay::service_map content = soundMap();
    content.routes[0].timeout = 2001ms;
    checkBroken(content, "timeout_over_wait", {checked_field::route_timeout, 0});
    CHECK(findingsOf(content, {}).empty());
}

TEST_CASE("a target over the timeout is found, and without a timeout it is not")
{
    relay::service_map content = soundMap();
    content.routes[1].targetLatency = 1001ms;
    checkBroken(content, "target_over_timeout", {checked_field::route_target_latency, 1});
    content.routes[1].timeout = 0ms;
    CHECK(findingsOf(content).empty());
    content = soundMap();
    content.routes[0].targetGap = 3s;
    checkBroken(content, "target_over_timeout", {checked_field::route_target_gap, 0});
}

TEST_CASE("several attempts of calls that may run once are found")
{
    relay::service_map content = soundMap();
    content.routes[1].attempts = 2;
    checkBroken(content, "attempts_at_most_once", {checked_field::route_attempts, 1});
    content.routes[1].kind = relay::call_kind::idempotent;
    CHECK(findingsOf(content).empty());
}

TEST_CASE("a service that is there twice, or that no route leads to, is found")
{
    relay::service_map content = soundMap();
    content.services.push_back(content.services[0]);
    checkBroken(content, "service_twice", {checked_field::service, 2});
    content.services[2].name = "unused";
    checkBroken(content, "service_unused", {checked_field::service, 2}, check_severity::warning);
}

TEST_CASE("a minimum of upstreams over their maximum is found")
{
    relay::service_map content = soundMap();
    content.services[0].scaling->minPerDomain = 5;
    checkBroken(content, "scaling_min_over_max", {checked_field::service_scaling_min, 0});
    content.services[0].scaling->minPerDomain = 4;
    CHECK(findingsOf(content).empty());
}

TEST_CASE("a client account that is there twice, or has no key, is found")
{
    relay::service_map content = soundMap();
    content.accounts[1].name = "one";
    checkBroken(content, "account_twice", {checked_field::account, 1});
    content = soundMap();
    content.accounts[1].keys.clear();
    checkBroken(content, "account_without_key", {checked_field::account, 1}, check_severity::warning);
}

TEST_CASE("a key in two client accounts is found, and findings do not contain keys")
{
    relay::service_map content = soundMap();
    content.accounts[0].keys[1] = "secret-key";
    content.accounts[1].keys.emplace_back("secret-key");
    checkBroken(content, "key_twice", {checked_field::account_key, 1, 1});
    CHECK(findingsOf(content).front().text.find("secret-key") == std::string::npos);
}

TEST_CASE("a burst below one call is found, in calls and in tokens")
{
    relay::service_map content = soundMap();
    content.accounts[0].burst = 0.5;
    checkBroken(content, "burst_below_call", {checked_field::account_burst, 0});
    content = soundMap();
    content.accounts[1].unitsWithoutUsage = 501.0;
    checkBroken(content, "burst_below_call", {checked_field::account_burst, 1});
    content.accounts[1].unitsPerSecond = 0.0; // no limit
    CHECK(findingsOf(content).empty());
}

TEST_CASE("limits far beyond what upstreams run are found, once")
{
    relay::service_map content = soundMap();
    // 8 upstreams x 12 slots / 0.5 s + 8 x 6 / 0.15 s = 512 calls a second
    content.accounts[0].unitsPerSecond = 5100.0;
    CHECK(findingsOf(content).empty());
    content.accounts[0].unitsPerSecond = 5130.0;
    checkBroken(content, "limits_over_capacity", {checked_field::account_rate, 0}, check_severity::warning);
    content.services[0].scaling.reset();
    CHECK(findingsOf(content).empty());
}

TEST_CASE("findings are bounded for each rule, and all are counted")
{
    relay::service_map content = soundMap();
    for (int index = 0; index < 1000; ++index)
        content.routes.push_back(content.routes[0]);
    content.accounts[0].burst = 0.0;
    const check_report report = checkServiceMap(content, {});
    CHECK(report.findings().size() == check_report::max_findings_per_rule + 1);
    CHECK(report.count(check_severity::error) == 1001);
    CHECK(report.omitted() == 950);
}

TEST_CASE("differences are told in words, with both values, and keys are only counted")
{
    const relay::service_map before = soundMap();
    CHECK(difference(before, before).empty());
    relay::service_map after = soundMap();
    std::reverse(after.routes.begin(), after.routes.end());
    CHECK(difference(before, after).empty());
    after.routes[1].timeout = 1500ms;
    after.routes[1].attempts = 2;
    after.routes[0].name = "payment";
    after.services[1].scaling->maxPerDomain = 9;
    after.accounts[0].keys = {"k2", "k9"};
    after.limits.bodyBytes = 1000;
    std::vector<std::string> texts;
    for (const service_map_change &each : difference(before, after))
        texts.push_back(describe(each));
    CHECK(texts
          == std::vector<std::string>{"route chat: timeout 2000 ms -> 1500 ms; attempts 3 -> 2",
                                      "route pay: gone", "route payment: added",
                                      "service plain: upstreams at most 4 -> 9",
                                      "client account one: loses 1 of 2 keys; gets 1 new keys",
                                      "limits of callers: bytes of a body 4194304 -> 1000"});
}
