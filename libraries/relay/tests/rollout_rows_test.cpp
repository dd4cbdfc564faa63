#include "relay/rollout_rows.h"

#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "cloud/store_position.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace std::chrono_literals;

namespace {

std::uint64_t positionOf(std::uint64_t era, std::uint64_t version)
{
    return cloud::store_position::create(era, version).value().packed();
}

/// Decodes rows of the form "service target".
outcome<delivery::rollout_order> decode(std::string_view text)
{
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos)
        return error{error_code::invalid_argument, "no target"};
    delivery::rollout_order result;
    result.service = text.substr(0, space);
    result.targetVersion = text.substr(space + 1);
    result.length = 12s;
    return result;
}

struct fixture
{
    fixture()
    {
        configureLog("tests", log_level::error);
        time.advance(1s);
    }

    virtual_scheduler time;
    int updates = 0;
    std::vector<delivery::rollout_order> orders;
    rollout_rows rows{time, "rollout/", decode, [this](const auto &inForce) {
                          ++updates;
                          orders = inForce;
                      }};
};

} // namespace

TEST_CASE("orders of rollouts are read from the rows with their prefix, with the version of the row")
{
    fixture context;
    CHECK_FALSE(context.rows.onChange({"config", 1, "a v2"}, 0ms));
    CHECK(context.rows.onChange({"rollout/a", 2, "a v2"}, 0ms));
    CHECK(context.rows.onChange({"rollout/b", 3, "b v7"}, 0ms));
    REQUIRE(context.orders.size() == 2);
    CHECK(context.orders[0].rowVersion == 2);
    CHECK(context.orders[0].seenAt == context.time.now());
    CHECK(context.orders[1].targetVersion == "v7");
    CHECK_FALSE(context.rows.onChange({"rollout/a", 2, "a v2"}, 0ms));
    CHECK(context.updates == 2);
    // The operator may order the same version again after a rollback.
    CHECK(context.rows.onChange({"rollout/a", 9, "a v2"}, 0ms));
    CHECK(context.orders[0].rowVersion == 9);
}

TEST_CASE("an unreadable row leaves the order in force, and a removed one withdraws it")
{
    fixture context;
    context.rows.onChange({"rollout/a", 2, "a v2"}, 0ms);
    CHECK_FALSE(context.rows.onChange({"rollout/a", 3, "broken"}, 0ms));
    CHECK_FALSE(context.rows.onChange({"rollout/a", 4, "b v3"}, 0ms)); // names another service than its key
    REQUIRE(context.orders.size() == 1);
    CHECK(context.orders[0].targetVersion == "v2");
    CHECK(context.rows.onChange({"rollout/a", 5, "", true}, 0ms));
    CHECK(context.orders.empty());
    CHECK_FALSE(context.rows.onChange({"rollout/a", 5, "", true}, 0ms));
}

TEST_CASE("an order stays the same when the store is restored from an older copy")
{
    // Guards against a rollout that starts again after its rollback, because the restored row has a position
    // of the new era.
    fixture context;
    context.rows.onChange({"rollout/a", positionOf(0, 100), "a v2"}, 0ms);
    CHECK_FALSE(context.rows.onChange({"rollout/a", positionOf(1, 100), "a v2"}, 0ms));
    CHECK(context.orders[0].rowVersion == positionOf(0, 100));
    // The copy lacks the row.
    CHECK_FALSE(context.rows.onChange({"rollout/a", positionOf(1, 90), "", true}, 2s));
    CHECK(context.rows.orders().size() == 1);
    // The operator removes the row later.
    CHECK(context.rows.onChange({"rollout/a", positionOf(1, 140), "", true}, 0ms));
    CHECK(context.orders.empty());
}

TEST_CASE("the number of orders is bounded")
{
    fixture context;
    for (std::size_t number = 0; number < rollout_rows::max_orders + 10; ++number) {
        const std::string service = "s" + std::to_string(number);
        context.rows.onChange({"rollout/" + service, number + 1, service + " v2"}, 0ms);
    }
    CHECK(context.orders.size() == rollout_rows::max_orders);
}
