#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "fake_table.h"
#include "fleet/origin_recorder.h"
#include "fleet/origin_shard.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;
using placement::tests::fake_table;
using placement::tests::fake_table_client;
using relay::origin_lookup;
using relay::stream_key;
using relay::stream_origin;

namespace {

stream_key keyOf(int number)
{
    return stream_key::of("one", "stream" + std::to_string(number));
}

stream_origin originOf(int number)
{
    return {"s", number % 2 == 0 ? "v1" : "v2", "u-" + std::to_string(number % 7)};
}

/// Recorders that share one table.
struct recorders
{
    explicit recorders(std::size_t count, std::uint64_t seed = 1)
        : randomness(seed)
    {
        configureLog("tests", log_level::error);
        for (std::size_t index = 0; index < count; ++index) {
            clients.push_back(std::make_unique<fake_table_client>(time, table));
            all.push_back(std::make_unique<origin_recorder>(time, *clients.back(), index * 3,
                                                            [this] { return time.wallMilliseconds(); }));
        }
    }

    void add(std::size_t index, int number, duration lifetime)
    {
        all[index]->add(0, {keyOf(number), originOf(number), {}, lifetime, false});
    }

    /// Adds records with this rate to all recorders in turn. Returns the number of the next one.
    int run(duration span, double recordsPerSecond, duration lifetime, int number)
    {
        const time_point end = time.now() + span;
        for (; time.now() < end; ++number) {
            add(static_cast<std::size_t>(number) % all.size(), number, lifetime);
            time.advance(fromSeconds(1.0 / recordsPerSecond));
        }
        return number;
    }

    std::map<stream_key, origin_lookup> storedRecords() const
    {
        std::map<stream_key, origin_lookup> result;
        for (const auto &[key, row] : table.rows) {
            const outcome<origin_row> decoded = origin_row::decode(row.value);
            for (const stored_origin &each : decoded.value().records)
                result[each.stream].origin = each.origin;
        }
        return result;
    }

    std::size_t countMissing(int first, int end) const
    {
        const auto stored = storedRecords();
        std::size_t missing = 0;
        for (int number = first; number < end; ++number) {
            const auto found = stored.find(keyOf(number));
            missing += found == stored.end() || found->second.origin != originOf(number) ? 1 : 0;
        }
        return missing;
    }

    virtual_scheduler time;
    seeded_random randomness;
    fake_table table{time, randomness};
    std::vector<std::unique_ptr<fake_table_client>> clients;
    std::vector<std::unique_ptr<origin_recorder>> all;
};

} // namespace

TEST_CASE("rows of origins are decoded as they were encoded, within the stated size", "[stored]")
{
    origin_row row{3, {}};
    std::size_t bound = origin_row::emptySize();
    std::set<stream_origin> origins;
    for (int number = 0; number < 1000; ++number) {
        row.records.push_back(
            {keyOf(number), originOf(number), 1'764'870'000'000 + number * 77, number % 9 == 0});
        bound += origin_row::recordSize();
        if (origins.insert(originOf(number)).second)
            bound += origin_row::originSize(originOf(number));
    }
    const std::string text = row.encode();
    CHECK(origin_row::decode(text).value() == row);
    CHECK(text.size() <= bound);
    CHECK(row.endsAt() == row.records.back().endsAt);
    CHECK(origin_row::decode(origin_row{}.encode()).value() == origin_row{});
    rc::check("decode() accepts arbitrary input",
              [&](const std::string &arbitrary) { (void)origin_row::decode(arbitrary); });
    rc::check("a damaged row is decoded or rejected", [&] {
        std::string damaged = text;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[at] = static_cast<char>(damaged[at] ^ *rc::gen::inRange(1, 256));
        damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
        (void)origin_row::decode(damaged);
    });
}

TEST_CASE("there is a shard for each 100 nodes, and a growing fleet moves streams to new shards only",
          "[stored]")
{
    CHECK(origin_shards::countFor(0) == 1);
    CHECK(origin_shards::countFor(8) == 1);
    CHECK(origin_shards::countFor(86) == 1);
    CHECK(origin_shards::countFor(295) == 3);
    CHECK(origin_shards::countFor(1600) == 16);
    std::vector<std::size_t> sizes(16);
    for (int number = 0; number < 4000; ++number) {
        const stream_key key = keyOf(number);
        const std::vector<std::size_t> possible = origin_shards::possible(key, 16);
        for (std::size_t count = 1; count <= 16; ++count) {
            const std::size_t shard = origin_shards::of(key, count);
            CHECK(shard < count);
            CHECK(std::count(possible.begin(), possible.end(), shard) == 1);
            const std::size_t next = origin_shards::of(key, count + 1);
            CHECK((next == shard || next == count));
        }
        ++sizes[origin_shards::of(key, 16)];
    }
    CHECK(*std::min_element(sizes.begin(), sizes.end()) > 150); // 250 on average
    CHECK(*std::max_element(sizes.begin(), sizes.end()) < 350);
}

TEST_CASE("a recorder writes at most 20 rows a second, within 64 rows of 48 KB that are used again",
          "[stored]")
{
    const double recordsPerSecond = GENERATE(30.0, 800.0, 4000.0);
    constexpr duration lifetime = 17s;
    constexpr duration span = 60s;
    recorders tested(1);
    const int end = tested.run(span, recordsPerSecond, lifetime, 0);
    tested.time.advance(200ms);
    CHECK(tested.table.rows.size() <= origin_shards::max_rows);
    for (const auto &[key, row] : tested.table.rows) {
        CHECK(key.starts_with("origins/0/"));
        CHECK(row.value.size() <= origin_row::max_bytes);
    }
    CHECK(static_cast<double>(tested.table.appliedWrites.size()) <= 20.0 * seconds(span) + 1.0);
    const int live = static_cast<int>(recordsPerSecond * (seconds(lifetime) - 1.0));
    CHECK(tested.countMissing(end - std::min(live, end), end) == 0);
    CHECK(tested.all[0]->counters().dropped == 0);
}

TEST_CASE("a record is written within 60 ms", "[stored]")
{
    recorders tested(1);
    tested.table.faults.maxDelay = 2ms;
    tested.run(3s, 200.0, 17s, 0);
    tested.add(0, 5000, 17s);
    tested.time.advance(60ms);
    CHECK(tested.countMissing(5000, 5001) == 0);
}

TEST_CASE("records are stored although requests and responses are lost or late, by two recorders of a shard",
          "[stored]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        recorders tested(2, seed);
        tested.table.faults = {0.1, 0.1, 0.05, 20ms, false};
        const int end = tested.run(10s, 100.0, 60s, 0);
        tested.table.faults = {};
        tested.time.advance(20s);
        CHECK(tested.countMissing(0, end) == 0);
        CHECK(tested.all[0]->pendingCount() + tested.all[1]->pendingCount() == 0);
    }
}

TEST_CASE("while the table does not respond a bounded number of records waits, and is written afterwards",
          "[stored]")
{
    recorders tested(1);
    tested.run(1s, 100.0, 60s, 0);
    tested.table.faults.down = true;
    for (int number = 1000; number < 1000 + 20'000; ++number)
        tested.all[0]->add(0, {keyOf(number), originOf(number), {}, 60s + number * 1ms, false});
    tested.time.advance(5s);
    CHECK(tested.all[0]->pendingCount() <= origin_shard_writer::max_pending);
    tested.table.faults.down = false;
    tested.time.advance(2s);
    CHECK(tested.all[0]->pendingCount() == 0);
    // Those that end first were dropped.
    CHECK(
        tested.countMissing(1000 + 20'000 - static_cast<int>(origin_shard_writer::max_pending), 1000 + 20'000)
        == 0);
}

TEST_CASE("a recorder writes its records again after the table was restored from an older copy", "[stored]")
{
    recorders tested(1);
    tested.table.startCopies(1s);
    const int end = tested.run(8s, 50.0, 60s, 0);
    tested.table.restore(6s);
    CHECK(tested.countMissing(0, end) > 200);
    const int next = tested.run(1s, 50.0, 60s, end);
    tested.time.advance(200ms);
    CHECK(tested.countMissing(0, next) == 0);
    for (const auto &[key, row] : tested.table.rows)
        CHECK(origin_row::decode(row.value).value().era <= 1);
}

TEST_CASE("lookups share one read of the rows, and end when the table does not respond", "[stored]")
{
    recorders tested(2);
    const int end = tested.run(2s, 100.0, 60s, 0);
    tested.time.advance(100ms);
    origin_recorder &asking = *tested.all[1];
    int found = 0;
    for (int number = 0; number < end; ++number)
        asking.find(keyOf(number), [&found, number](const origin_lookup &response) {
            found += response.origin == originOf(number) && response.isStored ? 1 : 0;
        });
    tested.time.advance(100ms);
    CHECK(found == end);
    CHECK(asking.counters().reads <= 2); // the first request starts one; all others share the next
    // What was read is used without another read.
    const std::uint64_t reads = asking.counters().reads;
    bool isFound = false;
    asking.find(keyOf(3), [&](const origin_lookup &response) { isFound = response.origin == originOf(3); });
    CHECK(isFound);
    CHECK(asking.counters().reads == reads);

    std::optional<origin_lookup> unknown;
    asking.find(keyOf(-1), [&](const origin_lookup &response) { unknown = response; });
    tested.time.advance(200ms);
    REQUIRE(unknown);
    CHECK_FALSE(unknown->origin);
    CHECK(unknown->isComplete);

    tested.table.faults.lostRequest = 1.0;
    unknown.reset();
    asking.find(keyOf(-2), [&](const origin_lookup &response) { unknown = response; });
    tested.time.advance(relay::max_stored_lookup_time);
    REQUIRE(unknown);
    CHECK_FALSE(unknown->isComplete);
    unknown.reset();
    asking.find(keyOf(-3), [&](const origin_lookup &response) { unknown = response; });
    REQUIRE(unknown); // at once, while the platform has not responded in time
    CHECK_FALSE(unknown->isComplete);
}

TEST_CASE("a row that can't be decoded proves nothing and is not overwritten while its records may count",
          "[stored]")
{
    recorders tested(1);
    (void)tested.table.compareAndSwap(origin_shards::rowKey(0, 0), 0, "not a row");
    tested.add(0, 1, 60s);
    tested.time.advance(200ms);
    CHECK(tested.table.rows.at(origin_shards::rowKey(0, 0)).value == "not a row");
    CHECK(tested.table.rows.size() == 2);
    std::optional<origin_lookup> found;
    tested.all[0]->find(keyOf(1), [&](const origin_lookup &response) { found = response; });
    tested.time.advance(200ms);
    REQUIRE(found);
    CHECK(found->origin == originOf(1));
    CHECK_FALSE(found->isComplete);
}

TEST_CASE("records that ended are not found, and records of several shard counts are", "[stored]")
{
    recorders tested(1);
    origin_recorder &only = *tested.all[0];
    only.setNodes(295);
    for (int number = 0; number < 60; ++number)
        only.add(only.shardOf(keyOf(number)), {keyOf(number), originOf(number), {}, 20s, false});
    tested.time.advance(300ms);
    only.setNodes(40);
    int found = 0;
    for (int number = 0; number < 60; ++number)
        only.find(keyOf(number), [&found, number](const origin_lookup &response) {
            found += response.origin == originOf(number) ? 1 : 0;
        });
    tested.time.advance(300ms);
    CHECK(found == 60);
    tested.time.advance(60s);
    std::optional<origin_lookup> ended;
    only.find(keyOf(1), [&](const origin_lookup &response) { ended = response; });
    tested.time.advance(300ms);
    REQUIRE(ended);
    CHECK_FALSE(ended->origin);
}

TEST_CASE("a deviation is confirmed once it is written, and found by every node", "[stored]")
{
    recorders tested(2);
    std::map<int, int> confirmed;
    for (int number = 0; number < 40; ++number)
        tested.all[0]->storeDeviation(keyOf(number), 60s, [&confirmed, number] { ++confirmed[number]; });
    CHECK(confirmed.empty());
    // A deviation that is repeated before it is written is written once.
    tested.all[0]->storeDeviation(keyOf(0), 60s, [&confirmed] { ++confirmed[0]; });
    tested.time.advance(500ms);
    CHECK(confirmed.size() == 40);
    CHECK(confirmed[0] == 1);
    // The fleet may have had another size when the deviation was stored.
    tested.all[1]->setNodes(1600);
    for (int number = 0; number < 60; ++number) {
        std::optional<relay::deviation_lookup> found;
        tested.all[1]->findDeviation(keyOf(number),
                                     [&](const relay::deviation_lookup &response) { found = response; });
        tested.time.advance(200ms);
        REQUIRE(found);
        CHECK(found->isComplete);
        CHECK(found->isFound == (number < 40));
        // It is no record of where the stream began.
        std::optional<origin_lookup> record;
        tested.all[1]->find(keyOf(number), [&](const origin_lookup &response) { record = response; });
        tested.time.advance(200ms);
        REQUIRE(record);
        CHECK_FALSE(record->origin);
    }
}

TEST_CASE("a deviation is not confirmed while the table does not respond, and is when the response is lost",
          "[stored]")
{
    recorders tested(1);
    int confirmed = 0;
    tested.table.faults.lostRequest = 1.0;
    tested.all[0]->storeDeviation(keyOf(1), 60s, [&] { ++confirmed; });
    tested.time.advance(4s);
    CHECK(confirmed == 0);
    std::optional<relay::deviation_lookup> found;
    tested.all[0]->findDeviation(keyOf(1),
                                 [&](const relay::deviation_lookup &response) { found = response; });
    tested.time.advance(relay::max_stored_lookup_time);
    REQUIRE(found);
    CHECK_FALSE(found->isComplete);
    tested.table.faults.lostRequest = 0.0;
    tested.time.advance(4s);
    CHECK(confirmed == 1);
    // The row of the write is read back.
    tested.table.faults.lostAnswer = 0.7;
    tested.all[0]->storeDeviation(keyOf(2), 60s, [&] { ++confirmed; });
    tested.time.advance(20s);
    CHECK(confirmed == 2);
}

TEST_CASE("a deviation does not give way to others", "[stored]")
{
    recorders tested(1);
    const std::string full(origin_row::max_bytes, 'x');
    const std::size_t shard = origin_shards::ofDeviation(keyOf(1));
    for (std::size_t row = 0; row < origin_shards::max_rows; ++row)
        (void)tested.table.compareAndSwap(origin_shards::rowKey(shard, row), 0, full);
    const auto before = tested.table.rows;
    int confirmed = 0;
    tested.all[0]->storeDeviation(keyOf(1), 60s, [&] { ++confirmed; });
    tested.time.advance(10s);
    CHECK(confirmed == 0);
    for (const auto &[key, row] : before)
        CHECK(tested.table.rows.at(key).value == row.value);
}
