#include "fake_membership.h"
#include "fleet/peer_paths.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

/// The first of three nodes.
struct first_node
{
    first_node()
    {
        for (membership::incarnation id = 1; id <= 3; ++id) {
            membership::member each;
            each.id = id;
            each.name = "node-" + std::to_string(id);
            each.address = {"10.0.0." + std::to_string(id), 80};
            view.setMember(each);
        }
    }

    virtual_scheduler time;
    seeded_random randomness{5};
    admission::fake_network network{time, randomness, 0ms};
    admission::fake_network::view view{network, 1};
    std::int64_t wallMilliseconds = 1000;
    peer_paths paths{time, randomness, view, 8229, [this] { return wallMilliseconds; }};
};

} // namespace

TEST_CASE("calls go through nodes that live and reach the upstreams, not through this one")
{
    first_node node;
    const endpoint second{"10.0.0.2", 8229};
    const endpoint third{"10.0.0.3", 8229};
    std::set<endpoint> chosen;
    for (int round = 0; round < 50; ++round)
        chosen.insert(node.paths.choose({}).value());
    CHECK(chosen == std::set{second, third});
    CHECK(node.paths.choose({second}) == third);
    node.view.applyFact({"path/node-2", 1, "impaired"});
    CHECK(node.paths.choose({}) == third);
    CHECK(node.paths.impairedNodes() == std::set<std::string>{"node-2"});
    node.paths.recordFailure(third);
    CHECK(node.paths.choose({}) == std::nullopt);
    node.time.advance(peer_paths::failure_retention + 1ms);
    CHECK(node.paths.choose({}) == third);
    node.view.setMember(3, membership::member_state::leaving);
    CHECK(node.paths.choose({}) == std::nullopt);
}

TEST_CASE("a node tells the fleet when its paths fail and return, also after its clock stepped back")
{
    first_node node;
    const auto known = [&] { return node.view.findFact("path/node-1"); };
    node.paths.update(false);
    CHECK_FALSE(known());
    node.paths.update(true);
    REQUIRE(known());
    CHECK(known()->value == "impaired");
    node.wallMilliseconds = 10;
    node.paths.update(false);
    CHECK(known()->value == "sound");
    const std::uint64_t version = known()->version;
    node.paths.update(false);
    CHECK(known()->version == version);
}

TEST_CASE("a restarted node takes back what its former process told")
{
    first_node node;
    node.view.applyFact({"path/node-1", 5000, "impaired"});
    node.paths.update(false);
    CHECK(node.paths.impairedNodes().empty());
}
