#include "configuration/document_difference.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::configuration;

namespace {

document sample()
{
    document content;
    content.deployment = "scenario";
    service rates;
    rates.name = "rates";
    rates.kind = service_kind::plain;
    rates.firstTokenTarget = std::chrono::milliseconds(300);
    rates.budgetPerHour = 5.0;
    rates.classes = {{"standard", 1.0, 0}, {"counter", 2.5, 1}};
    content.services = {rates};
    content.upstreams = {{"rates-1", "rates", {"127.0.0.1", 9200}, "osu-hall", "small", 0.5}};
    return content;
}

} // namespace

TEST_CASE("equal documents have no difference, whatever the order of their entries")
{
    document left = sample();
    left.operators = {{"ama", "1"}, {"kofi", "2"}};
    document right = left;
    std::swap(right.operators[0], right.operators[1]);
    CHECK(difference(left, right).empty());
}

TEST_CASE("a changed field is listed with both values")
{
    document after = sample();
    after.services[0].budgetPerHour = 7.25;
    after.services[0].classes[1].worth = 3.0;
    CHECK(difference(sample(), after)
          == std::vector<document_change>{{"services.rates.budget_per_hour", "5", "7.25"},
                                          {"services.rates.classes.counter.worth", "2.5", "3"}});
}

TEST_CASE("the order of a service's classes is a difference")
{
    document after = sample();
    std::swap(after.services[0].classes[0], after.services[0].classes[1]);
    CHECK(difference(sample(), after)
          == std::vector<document_change>{
              {"services.rates.classes", "standard, counter", "counter, standard"}});
}

TEST_CASE("new and removed entries are listed field by field")
{
    document after = sample();
    after.upstreams = {{"rates-2", "rates", {"127.0.0.2", 9200}, "osu-hall", "", 0.0}};
    const std::vector<document_change> changes = difference(sample(), after);
    const auto holds = [&](const document_change &wanted) {
        return std::find(changes.begin(), changes.end(), wanted) != changes.end();
    };
    CHECK(holds({"upstreams.rates-1.address", "127.0.0.1:9200", ""}));
    CHECK(holds({"upstreams.rates-2.address", "", "127.0.0.2:9200"}));
    CHECK(describe(changes.front()) == R"(upstreams.rates-1.address: "127.0.0.1:9200" -> "")");
}
