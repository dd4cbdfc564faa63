#include "edge/configuration_findings.h"

#include <catch2/catch.hpp>

using namespace ivypier;

TEST_CASE("findings of a configuration that is taken in are logged, bounded in number")
{
    relay::service_map content;
    content.version = 7;
    content.services = {{.name = "s"}};
    content.routes = {{.name = "r", .host = "h", .prefix = "/", .targets = {{"s", 1}}}};
    CHECK(edge::describeConfigurationFindings(content).empty());
    content.routes.front().attempts = 2;
    const auto one = edge::describeConfigurationFindings(content);
    REQUIRE(one.size() == 1);
    CHECK(one.front().text().find("rule=attempts_at_most_once") != std::string::npos);
    CHECK(one.front().text().find("version=7") != std::string::npos);
    for (int copy = 0; copy < 5000; ++copy)
        content.routes.push_back(content.routes.front());
    const auto many = edge::describeConfigurationFindings(content);
    REQUIRE(many.size() == edge::max_logged_findings + 1);
    // Each of the 5,000 copies has an equal prefix and too many attempts, and so has the first one the
    // latter.
    CHECK(many.back().text().find("count=9981") != std::string::npos);
}
