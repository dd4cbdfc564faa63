#include "relay/version_reserve.h"
#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slot_count = 10;

upstream upstreamOf(const std::string &id, const std::string &version)
{
    upstream result;
    result.record = {id, "s", {"10.0.0.1", 1}, "hall", slot_count, false, false, {}, version};
    return result;
}

/// Returns the reserved ones among three upstreams of v1 and two of v2, all with the same occupancy.
version_reserve reservedWith(const upstream_occupancy &occupancy,
                             const std::vector<std::string> &versions = {"v1", "v1", "v1", "v2", "v2"})
{
    std::vector<upstream> all;
    for (std::size_t index = 0; index < versions.size(); ++index)
        all.push_back(upstreamOf("u" + std::to_string(index), versions[index]));
    std::vector<const upstream *> ready;
    for (const upstream &each : all)
        ready.push_back(&each);
    return reservedForResumption(ready, [&](const upstream &) { return occupancy; });
}

} // namespace

TEST_CASE("upstreams of a version with two of them are reserved once they are busy or limit their calls")
{
    const std::set<std::string> scarce{"u3", "u4"};
    CHECK(reservedWith({.load = 6.9}) == version_reserve{});
    CHECK(reservedWith({.load = 7.0}) == version_reserve{.avoided = scarce, .closed = {}});
    CHECK(reservedWith({.load = 0.0, .isLimited = true}).avoided == scarce);
    CHECK(reservedWith({.load = 20.0}, {"v1", "v1"}) == version_reserve{});
    CHECK(reservedWith({.load = 20.0}, {"v1", "v1", "v1", "v2", "v2", "v2"}) == version_reserve{});
    CHECK(reservedWith({.load = 20.0}, {}) == version_reserve{});
}

TEST_CASE("upstreams of a scarce version are closed to new calls once a part of their queues is taken")
{
    CHECK(reservedWith({.load = 14.9}).closed.empty());
    CHECK(reservedWith({.load = 15.0}).closed == std::set<std::string>{"u3", "u4"});
}

TEST_CASE("limited upstreams of a scarce version are closed to new calls unless all upstreams are limited")
{
    const upstream_occupancy limited{.load = 0.0, .isLimited = true};
    CHECK(reservedWith(limited).closed.empty());
    std::vector<upstream> all{upstreamOf("a", "v1"), upstreamOf("b", "v1"), upstreamOf("c", "v1"),
                              upstreamOf("d", "v2")};
    std::vector<const upstream *> ready;
    for (const upstream &each : all)
        ready.push_back(&each);
    const version_reserve reserved = reservedForResumption(ready, [](const upstream &each) {
        return upstream_occupancy{.load = 0.0, .isLimited = each.record.id == "d"};
    });
    CHECK(reserved == version_reserve{.avoided = {"d"}, .closed = {"d"}});
}

TEST_CASE("new calls leave busy upstreams of a scarce version to streams that go on, unless no other is left")
{
    relay_fixture fixture(call_kind::resumable_stream, 3);
    // `a` is the only upstream of v2, and busy.
    fixture.upstreams.remove("a");
    upstream_record scarce{"v2a", "s", {"10.0.0.1", 'a'}, "hall", 4, false, false, {}, "v2"};
    fixture.upstreams.put(scarce);
    for (const char *id : {"c", "d"})
        fixture.upstreams.put(
            {id, "s", {"10.0.0.1", static_cast<std::uint16_t>(*id)}, "hall", 4, false, false, {}, "v1"});
    for (int call = 0; call < 3; ++call)
        fixture.upstreams.recordCallStart("v2a", 0);
    for (int round = 0; round < 20; ++round) {
        fixture.startCall();
        CHECK(fixture.last().to.port != 'a');
    }
    fixture.origins.records[stream_key::of("one", "first")] = {"s", "v2", "gone"};
    fixture.resume("first", 3);
    CHECK(fixture.last().to.port == 'a');
    for (const char *id : {"b", "c", "d"})
        fixture.upstreams.remove(id);
    fixture.startCall();
    CHECK(fixture.last().to.port == 'a');
}
