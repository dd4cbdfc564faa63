#include "relay/slot_balance.h"
#include "relay/version_row.h"
#include "relay/version_slots.h"

#include <catch2/catch.hpp>

#include <map>

using namespace ivypier;
using namespace ivypier::relay;

namespace {

stream_key keyOf(int number)
{
    return stream_key::of("one", "stream" + std::to_string(number));
}

std::map<std::string, std::size_t> countsOf(const version_slots &slots)
{
    std::map<std::string, std::size_t> result;
    for (const version_slots::run &each : slots.runs())
        result[each.version] += each.length;
    return result;
}

std::size_t movingAt(const version_slots &slots, std::int64_t now)
{
    std::size_t result = 0;
    for (const version_slots::run &each : slots.runs())
        result += each.provenFrom > now ? each.length : 0;
    return result;
}

using counts = std::map<std::string, std::size_t>;

} // namespace

TEST_CASE("slots are divided in proportion, and every key has one")
{
    CHECK(version_slots::inProportion({}, 0).isEmpty());
    CHECK(version_slots::inProportion({{"v1", 0.0}}, 0).isEmpty());
    CHECK(countsOf(version_slots::inProportion({{"v1", 8.0}}, 0)) == counts{{"v1", 64}});
    CHECK(countsOf(version_slots::inProportion({{"v1", 1.0}, {"v2", 1.0}, {"v3", 1.0}}, 0))
          == counts{{"v1", 22}, {"v2", 21}, {"v3", 21}});
    const version_slots slots = version_slots::inProportion({{"v1", 3.0}, {"v2", 1.0}}, 0);
    counts selected;
    for (int number = 0; number < 4000; ++number) {
        const auto version = slots.selectedVersion(keyOf(number));
        REQUIRE(version);
        CHECK(slots.provenVersion(keyOf(number), 0) == version);
        ++selected[*version];
    }
    CHECK(selected["v1"] > 2800);
    CHECK(selected["v1"] < 3200);
    CHECK_FALSE(version_slots{}.selectedVersion(keyOf(1)));
}

TEST_CASE("a slot proves nothing before its time, and nothing of upstreams that state no version")
{
    const version_slots slots = version_slots::inProportion({{"v1", 1.0}}, 5000);
    CHECK(slots.selectedVersion(keyOf(1)) == "v1");
    CHECK_FALSE(slots.provenVersion(keyOf(1), 4999));
    CHECK(slots.provenVersion(keyOf(1), 5000) == "v1");
    const version_slots unstated = version_slots::inProportion({{"", 1.0}}, 0);
    CHECK(unstated.selectedVersion(keyOf(1)) == "");
    CHECK_FALSE(unstated.provenVersion(keyOf(1), 1));
}

TEST_CASE("few slots move at a time, and only once a version lacks many")
{
    const version_slots even = version_slots::inProportion({{"v1", 4.0}, {"v2", 4.0}}, 0);
    CHECK(balancedSlots(even, {{"v1", 4.0}, {"v2", 4.0}}, 1000) == even);
    CHECK(balancedSlots(even, {{"v1", 4.0}, {"v2", 5.0}}, 1000) == even);
    CHECK(balancedSlots(even, {}, 1000) == even); // no capacity is known
    version_slots slots = even;
    for (std::int64_t now = 1000; now < 200'000; now += 1000) {
        slots = balancedSlots(slots, {{"v1", 2.0}, {"v2", 6.0}}, now).confirmed(now + 9000);
        CHECK(movingAt(slots, now) <= max_moving_slots);
    }
    CHECK(countsOf(slots)["v1"] <= 16 + slot_move_threshold);
    CHECK(countsOf(slots)["v1"] >= 16);
}

// Guards against new streams that are refused while the table is silent, because the few upstreams that a
// release left of the selected version can't take them.
TEST_CASE("a version has at most twice the slots that its upstreams can serve")
{
    const version_slots former = version_slots::inProportion({{"v1", 9.0}}, 0);
    for (double left = 9.0; left > 0.0; left -= 1.0) {
        const std::map<std::string, double> capacity{{"v1", left}, {"v2", 9.0 - left + 0.5}};
        const version_slots slots = balancedSlots(former, capacity, 1000);
        const auto wanted = version_slots::proportionalCounts(capacity);
        INFO(left << " of the old version");
        CHECK(countsOf(slots)["v1"] <= max_slots_per_share * wanted.at("v1"));
        if (2.0 * left > 9.5)
            CHECK(movingAt(slots, 1000) <= max_moving_slots);
        CHECK(balancedSlots(slots, capacity, 1001) == slots);
    }
}

TEST_CASE("the slots of a version without upstreams move at once")
{
    const version_slots even = version_slots::inProportion({{"v1", 4.0}, {"v2", 4.0}, {"v3", 4.0}}, 0);
    const version_slots moved = balancedSlots(even, {{"v1", 4.0}, {"v2", 4.0}}, 1000);
    CHECK(countsOf(moved) == counts{{"v1", 32}, {"v2", 32}});
    CHECK(movingAt(moved, 1000) == countsOf(even)["v3"]);
    // The slots that moved are in two blocks.
    CHECK(moved.runs().size() <= 4);
    CHECK(moved.hasUnconfirmed());
    CHECK_FALSE(moved.confirmed(7000).hasUnconfirmed());
    CHECK(moved.confirmed(7000).confirmed(8000) == moved.confirmed(7000));
    CHECK_FALSE(even.withoutProof().provenVersion(keyOf(1), 1'764'870'000'000));
    for (int number = 0; number < 500; ++number) {
        const auto former = even.provenVersion(keyOf(number), 1000);
        const auto now = moved.provenVersion(keyOf(number), 1000);
        CHECK(now == (former == "v3" ? std::nullopt : former));
    }
}

TEST_CASE("a row states its slots in few bytes, and a malformed one is rejected")
{
    version_row row{{"v1", "v2"}, 3, 4, 5, version_slots::inProportion({{"v1", 1.0}, {"v2", 2.0}}, 77)};
    CHECK(version_row::decode(row.encode()).value() == row);
    CHECK(version_row{}.encode().find("slots") == std::string::npos);
    // Gossip carries up to 512 bytes, with the key of the row.
    version_slots slots = row.slots;
    for (std::int64_t now = 1'764'870'000'000; now < 1'764'870'600'000; now += 60'000)
        slots = balancedSlots(slots, {{"v1", 5.0}, {"v2", 1.0}}, now).confirmed(now + 660'000);
    row.slots = slots;
    CHECK(row.encode().size() < 300);
    CHECK(version_row::decode(row.encode()).value() == row);
    for (const char *each : {R"([[64]])", R"([[63,0]])", R"([[64,2]])", R"([[64,-1]])", R"([[0,0],[64,0]])",
                             R"([["64",0]])", R"([[64,0,"x"]])", R"([[64,0],[64,0]])", R"([64])"}) {
        INFO(each);
        CHECK_FALSE(version_row::decode(R"({"versions":["v1","v2"],"slots":)" + std::string(each) + "}"));
    }
    CHECK(version_row::decode(R"({"versions":["v1"],"slots":7})").value().slots.isEmpty());
}
