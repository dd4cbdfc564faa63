#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "fleet/fleet_size.h"
#include "relay/unit_quota.h"
#include "shared_view.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace ivypier::fleet::tests;
using namespace std::chrono_literals;

namespace {

/// The estimate of the first of 73 nodes, which sees none of the others at first.
struct started_node
{
    started_node()
        : members(73)
        , view(members, 0)
        , size(time, view)
    {
        configureLog("tests", log_level::error);
        for (std::size_t index = 0; index < members.size(); ++index) {
            members[index].id = index + 1;
            members[index].name = "node-" + std::to_string(index);
            if (index > 0)
                view.unseen.insert(index + 1);
        }
    }

    std::size_t countAfter(duration span, bool hasRemoteCollector = false)
    {
        time.advance(span);
        size.update(hasRemoteCollector);
        return size.count();
    }

    virtual_scheduler time;
    std::vector<membership::member> members;
    shared_view view;
    fleet_size size;
};

} // namespace

TEST_CASE("a node that starts while it is cut off counts the stored nodes as long as ones that vanished")
{
    started_node node;
    node.size.setStored(73);
    CHECK(node.countAfter(4s) == 73);
    CHECK(node.countAfter(25s) == 73);
    CHECK(node.countAfter(2s) == 1);
}

TEST_CASE("the greatest number of nodes of the last minutes is remembered, and then forgotten")
{
    started_node node;
    node.size.setStored(8);
    CHECK(node.countAfter(1s) == 8);
    CHECK(node.size.peak() == 8);
    CHECK(node.countAfter(60s) == 1);
    CHECK(node.size.peak() == 8);
    node.view.unseen.clear();
    CHECK(node.countAfter(1s) == 73);
    CHECK(node.size.peak() == 73);
    for (membership::incarnation id = 2; id <= 73; ++id)
        node.view.unseen.insert(id);
    CHECK(node.countAfter(60s) == 1);
    CHECK(node.size.peak() == 73);
    CHECK(node.countAfter(fleet_size::peak_retention) == 1);
    CHECK(node.size.peak() == 1);
}

TEST_CASE("a node that was restarted in a small part of a divided fleet counts the stored nodes")
{
    started_node node;
    node.size.setStored(73);
    node.view.unseen.erase(2);
    CHECK(node.countAfter(4s, true) == 73);
}

TEST_CASE("a node that reaches neither the table nor another node assumes a large fleet")
{
    started_node node;
    CHECK(node.countAfter(4s) == relay::assumed_node_count);
    node.size.setStored(std::nullopt);
    CHECK(node.countAfter(0s) == 1);
}

TEST_CASE("the first nodes of a fleet count each other once one of them has answered")
{
    started_node node;
    node.size.setStored(std::nullopt);
    node.view.unseen.clear();
    CHECK(node.countAfter(500ms, true) == 73);
    node.view.unseen.insert({3, 4});
    CHECK(node.countAfter(600ms, true) == 73); // nodes that vanished
    started_node alone;
    alone.size.setStored(std::nullopt);
    CHECK(alone.countAfter(2s) == relay::assumed_node_count);
    CHECK(alone.countAfter(2s) == 1);
}
