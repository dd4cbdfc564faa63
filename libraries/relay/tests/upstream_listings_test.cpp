#include "base/log_event.h"
#include "base/random_source.h"
#include "base/virtual_scheduler.h"
#include "cloud/store_position.h"
#include "relay/upstream_listings.h"
#include "relay/upstream_rows.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace ivypier;
using namespace ivypier::relay;
using namespace std::chrono_literals;

namespace {

/// Nodes that read one table of upstreams and tell one another what they found.
struct reading_nodes
{
    struct node
    {
        explicit node(reading_nodes &fleet)
            : upstreams(fleet.time)
            , rows(fleet.time, upstreams,
                   [](const std::string &key, std::string_view text) -> outcome<upstream_record> {
                       // The text is the start of the incarnation, and its state.
                       const bool isDraining = text.ends_with("draining");
                       const std::string start(text.substr(0, text.find(' ')));
                       return upstream_record{.id = key + "@" + start,
                                              .service = "s",
                                              .address = {"10.0.0.1", 80},
                                              .failureDomain = "hall",
                                              .slots = 4,
                                              .draining = isDraining,
                                              .softwareVersion = "v1",
                                              .name = key,
                                              .startedAt = std::stoll(start)};
                   })
        {
            rows.onListingChanged([&fleet](const upstream_listing &each) { fleet.tell(each); });
            upstreams.onUnavailable([&fleet](const upstream_record &each) {
                if (each.draining)
                    fleet.drained.push_back(each.id);
            });
        }
        bool uses(const std::string &id) const
        {
            const upstream *found = upstreams.find(id);
            return found && !found->record.draining;
        }

        upstream_directory upstreams;
        upstream_rows rows;
    };

    explicit reading_nodes(std::size_t count)
    {
        configureLog("tests", log_level::error);
        for (std::size_t index = 0; index < count; ++index)
            add();
    }

    node &add()
    {
        nodes.push_back(std::make_unique<node>(*this));
        return *nodes.back();
    }

    /// Tells a listing to all nodes; a newer one takes the place of an older one, as with gossip facts.
    void tell(const upstream_listing &update)
    {
        upstream_listing &fact
            = facts.try_emplace(update.id, upstream_listing{update.id, 0, true}).first->second;
        if (update.version <= fact.version)
            return;
        fact = update;
        ++told;
        for (const auto &each : nodes)
            each->rows.applyListing(update);
    }

    /// Starts another node, which hears of all facts, before or after it reads the row.
    node &start(std::uint64_t rowVersion, const std::string &text, bool readsFirst)
    {
        node &started = add();
        if (readsFirst)
            started.rows.onChange({"u", rowVersion, text, false}, {});
        for (const auto &[id, fact] : std::map(facts))
            started.rows.applyListing(fact);
        for (const std::string &each : drained)
            started.upstreams.markDraining(each);
        if (!readsFirst)
            started.rows.onChange({"u", rowVersion, text, false}, {});
        return started;
    }

    void write(std::uint64_t version, const std::string &text, std::size_t from = 0)
    {
        for (std::size_t index = from; index < nodes.size(); ++index)
            nodes[index]->rows.onChange({"u", version, text, false}, {});
    }
    void remove(std::uint64_t version, std::size_t from = 0)
    {
        for (std::size_t index = from; index < nodes.size(); ++index)
            nodes[index]->rows.onChange({"u", version, "", true}, {});
    }

    virtual_scheduler time;
    std::vector<std::unique_ptr<node>> nodes;
    std::map<std::string, upstream_listing> facts;
    std::vector<std::string> drained; ///< incarnations that are told to drain
    std::size_t told = 0;
};

const std::string first = "u@1000";

} // namespace

// review/7: nodes that started after the row of an upstream had lapsed never used the upstream again.
TEST_CASE("an upstream whose row lapsed and came back is used by nodes that start later")
{
    const bool readsFirst = GENERATE(true, false);
    reading_nodes fleet(3);
    fleet.write(10, "1000 ready");
    fleet.remove(20);
    for (const auto &each : fleet.nodes)
        CHECK_FALSE(each->uses(first));
    fleet.write(30, "1000 ready");
    for (const auto &each : fleet.nodes)
        CHECK(each->uses(first));
    CHECK(fleet.start(30, "1000 ready", readsFirst).uses(first));
    CHECK(fleet.start(37, "1000 ready", readsFirst).uses(first));
    CHECK(fleet.drained.empty());
    CHECK(fleet.told == 2);
}

TEST_CASE("a removal that one node read reaches nodes that can't read the table, also a second one")
{
    reading_nodes fleet(3);
    fleet.write(10, "1000 ready");
    fleet.nodes[0]->rows.onChange({"u", 20, "", true}, {});
    for (const auto &each : fleet.nodes)
        CHECK_FALSE(each->uses(first));
    // What a node that is behind tells does not bring it back.
    fleet.nodes[2]->rows.onChange({"u", 15, "1000 ready", false}, {});
    CHECK_FALSE(fleet.nodes[2]->uses(first));
    // The node that can't read the table hears that the row is back.
    fleet.nodes[0]->rows.onChange({"u", 30, "1000 ready", false}, {});
    for (const auto &each : fleet.nodes)
        CHECK(each->uses(first));
    fleet.nodes[1]->rows.onChange({"u", 40, "", true}, {});
    for (const auto &each : fleet.nodes)
        CHECK_FALSE(each->uses(first));
}

TEST_CASE("an absence that a node tells late does not hide an upstream whose newer row was read")
{
    reading_nodes fleet(2);
    fleet.write(10, "1000 ready");
    fleet.write(30, "1000 ready"); // a heartbeat
    fleet.nodes[0]->rows.applyListing({first, 20, false});
    CHECK(fleet.nodes[0]->uses(first));
    // The nodes that heard of the absence are told.
    CHECK(fleet.facts.at(first) == upstream_listing{first, 30, true});
    // Neither does a removal that is read late.
    fleet.nodes[1]->rows.onChange({"u", 25, "", true}, {});
    CHECK(fleet.nodes[1]->uses(first));
    fleet.nodes[1]->rows.onChange({"u", 35, "", true}, {});
    CHECK_FALSE(fleet.nodes[1]->uses(first));
}

TEST_CASE("an upstream that leaves after its row had lapsed is not used again")
{
    const bool readsFirst = GENERATE(true, false);
    reading_nodes fleet(2);
    fleet.write(10, "1000 ready");
    fleet.remove(20);
    fleet.write(30, "1000 ready");
    fleet.write(40, "1000 draining");
    fleet.remove(50);
    CHECK_FALSE(fleet.nodes[0]->uses(first));
    CHECK_FALSE(fleet.drained.empty());
    // A row of before, from a node that is behind.
    CHECK_FALSE(fleet.start(30, "1000 ready", readsFirst).uses(first));
    // A new start under its name is another incarnation.
    fleet.write(60, "2000 ready");
    for (const auto &each : fleet.nodes)
        CHECK(each->uses("u@2000"));
}

TEST_CASE(
    "an incarnation that another one replaced has ended, and an absence of the former does not concern it")
{
    reading_nodes fleet(2);
    fleet.write(10, "1000 ready");
    fleet.write(20, "2000 ready");
    CHECK(fleet.drained == std::vector<std::string>{first, first});
    fleet.nodes[0]->rows.applyListing({first, 25, false});
    CHECK(fleet.nodes[0]->uses("u@2000"));
    fleet.nodes[1]->rows.applyListing({first, 30, true});
    CHECK(fleet.nodes[1]->uses("u@2000"));
    CHECK_FALSE(fleet.nodes[1]->uses(first));
}

TEST_CASE("an absence is taken back by the versions of a table that was restored from an older copy")
{
    const std::uint64_t era = std::uint64_t{1} << cloud::store_position::version_bits;
    reading_nodes fleet(2);
    fleet.write(10, "1000 ready");
    fleet.write(100, "1000 ready");
    fleet.nodes[0]->rows.onChange({"u", era + 40, "", true}, {}); // the copy lacks the row
    CHECK_FALSE(fleet.nodes[1]->uses(first));
    fleet.nodes[0]->rows.onChange({"u", era + 41, "1000 ready", false}, {});
    CHECK(fleet.nodes[1]->uses(first));
    CHECK(fleet.start(era + 41, "1000 ready", false).uses(first));
}

TEST_CASE("a removal that is put off and taken back meanwhile is told to no node")
{
    reading_nodes fleet(2);
    fleet.write(10, "1000 ready");
    fleet.nodes[0]->rows.onChange({"u", 20, "", true}, 2s);
    fleet.time.advance(1s);
    fleet.nodes[0]->rows.onChange({"u", 30, "1000 ready", false}, {});
    fleet.time.advance(5s);
    CHECK(fleet.told == 0);
    fleet.nodes[0]->rows.onChange({"u", 40, "", true}, 2s);
    fleet.time.advance(1s);
    fleet.nodes[0]->rows.applyListing({first, 40, false}); // another node is certain already
    CHECK_FALSE(fleet.nodes[0]->uses(first));
    fleet.time.advance(5s);
    CHECK_FALSE(fleet.nodes[0]->uses(first));
}

TEST_CASE("the newest listing holds, in any order")
{
    virtual_scheduler time;
    upstream_listings listings(time);
    CHECK(listings.apply({"a", 5, true}));
    CHECK_FALSE(listings.apply({"a", 4, false}));
    CHECK_FALSE(listings.isAbsentSince("a", 1));
    CHECK(listings.apply({"a", 6, false}));
    CHECK(listings.isAbsentSince("a", 6));
    CHECK_FALSE(listings.isAbsentSince("a", 7));
    CHECK_FALSE(listings.isAbsentSince("b", 1));
    time.advance(upstream_listings::retention + 1min);
    CHECK(listings.apply({"b", 1, true}));
    CHECK_FALSE(listings.find("a"));
}
