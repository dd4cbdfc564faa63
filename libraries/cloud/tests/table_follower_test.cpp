#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "cloud/table_follower.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace ivypier;
using namespace ivypier::cloud;
using namespace std::chrono_literals;

namespace {

/// A change feed whose calls stay pending until the test completes them.
class manual_feed final : public change_feed
{
public:
    struct pending_call
    {
        bool isList = false;
        std::uint64_t after = 0;
        completion done;
        duration wait{};
    };

    void list(const std::string &, completion done) override
    {
        pendingCalls.push_back({true, 0, std::move(done)});
    }
    void changes(const std::string &, std::uint64_t after, duration wait, completion done) override
    {
        pendingCalls.push_back({false, after, std::move(done), wait});
    }

    pending_call take()
    {
        REQUIRE_FALSE(pendingCalls.empty());
        pending_call first = std::move(pendingCalls.front());
        pendingCalls.pop_front();
        return first;
    }
    void answer(versioned_rows rows)
    {
        take().done(std::move(rows));
    }
    void fail(error_code code)
    {
        take().done(error{code, "injected by the test"});
    }

    std::deque<pending_call> pendingCalls;
};

class recording_observer final : public table_observer
{
public:
    bool onChange(const feed_row &row, duration uncertainFor) override
    {
        if (row.value == "heartbeat")
            return false;
        seen.push_back((row.removed ? '-' + row.key : row.key + '=' + row.value)
                       + (uncertainFor > duration::zero() ? "?" : ""));
        return true;
    }

    std::vector<std::string> seen;
};

struct fixture
{
    fixture()
    {
        configureLog("tests", log_level::error);
        follower.start();
    }

    virtual_scheduler time;
    seeded_random randomness{3};
    manual_feed source;
    manual_feed fallback;
    recording_observer observer;
    table_follower follower{time, randomness, source, &fallback, "t", observer};
};

using texts = std::vector<std::string>;

} // namespace

TEST_CASE("a table is listed once and then polled for changes from its version")
{
    fixture context;
    context.source.answer({{{"a", 1, "x"}}, 5});
    CHECK(context.source.pendingCalls.front().after == 5);
    context.time.advance(10s);
    context.source.answer({{{"b", 6, "y"}, {"a", 7, "", true}}, 7});
    CHECK(context.observer.seen == texts{"a=x", "b=y", "-a"});
    CHECK(context.source.pendingCalls.empty()); // changes in quick succession are batched
    context.time.advance(200ms);
    CHECK(context.source.pendingCalls.front().after == 7);
    CHECK(context.follower.rows().rows.size() == 1);
}

TEST_CASE("after the change history is lost the table is listed again and missing rows count as removed")
{
    fixture context;
    context.source.answer({{{"a", 1, "x"}, {"b", 2, "y"}}, 5});
    context.time.advance(10s);
    context.source.fail(error_code::not_found);
    REQUIRE(context.source.pendingCalls.front().isList);
    context.source.answer({{{"b", 2, "y"}, {"c", 8, "z"}}, 9});
    CHECK(context.observer.seen == texts{"a=x", "b=y", "-a", "c=z"});
}

TEST_CASE("a failing source is retried with growing backoff while the fallback is read")
{
    fixture context;
    context.source.answer({{{"a", 1, "x"}}, 5});
    context.source.fail(error_code::unavailable);
    CHECK(context.source.pendingCalls.empty());
    CHECK_FALSE(context.follower.isConnected());
    std::size_t attempts = 0;
    for (int round = 0; round < 100; ++round) {
        context.time.advance(100ms);
        if (context.source.pendingCalls.empty())
            continue;
        ++attempts;
        context.source.fail(error_code::timed_out);
    }
    CHECK(attempts >= 6);
    CHECK(attempts <= 25);
    REQUIRE_FALSE(context.fallback.pendingCalls.empty());
    context.fallback.answer({{{"a", 1, "x"}, {"b", 6, "y"}}, 6});
    CHECK(context.observer.seen.back() == "b=y");
    CHECK(context.follower.version() == 6);
}

TEST_CASE("an older table version from the fallback is ignored")
{
    fixture context;
    context.source.answer({{{"a", 1, "new"}}, 9});
    context.source.fail(error_code::unavailable);
    context.follower.refresh();
    context.fallback.answer({{{"a", 1, "old"}}, 8});
    CHECK(context.observer.seen == texts{"a=new"});
}

TEST_CASE("a removal just after the source became reachable again is reported as uncertain")
{
    fixture context;
    context.source.answer({{{"a", 1, "x"}}, 5});
    context.time.advance(10s);
    context.source.fail(error_code::unavailable);
    context.time.advance(1s);
    context.source.answer({{{"a", 6, "", true}}, 6});
    CHECK(context.observer.seen.back() == "-a?");
    context.time.advance(5s);
    context.source.answer({{{"b", 7, "", true}}, 7});
    CHECK(context.observer.seen.back() == "-b");
}

TEST_CASE("refresh() lists the table at once, and the response to the earlier poll is ignored")
{
    fixture context;
    context.source.answer({{{"a", 1, "x"}}, 5});
    auto earlierPoll = context.source.take();
    context.follower.refresh();
    REQUIRE(context.source.pendingCalls.front().isList);
    context.source.answer({{{"a", 6, "y"}}, 6});
    const texts before = context.observer.seen;
    earlierPoll.done(versioned_rows{{{"a", 6, "y"}}, 6});
    CHECK(context.observer.seen == before);
    CHECK(context.source.pendingCalls.size() == 1);
}

TEST_CASE("an unreachable source is polled with a short timeout until it responds again")
{
    fixture context;
    context.source.answer({{{"a", 1, "x"}}, 5});
    const duration connectedTimeout = context.source.pendingCalls.front().wait;
    CHECK(connectedTimeout <= 3s); // a poll lost at the start of an outage delays its detection by this
    context.source.fail(error_code::timed_out);
    context.time.advance(2s);
    CHECK(context.source.pendingCalls.front().wait <= 500ms);
    context.source.answer({{}, 5});
    CHECK(context.source.pendingCalls.front().wait == connectedTimeout);
}

TEST_CASE("changesSince() returns rows with new information, each once")
{
    fixture context;
    CHECK_FALSE(context.follower.changesSince(0));
    int updates = 0;
    context.follower.onTableUpdated([&] { ++updates; });
    context.source.answer({{{"a", 1, "x"}}, 5});
    CHECK(updates == 1);
    CHECK_FALSE(context.follower.changesSince(4)); // changes before the first listing are unknown
    context.source.answer({{{"b", 6, "y"}, {"a", 7, "heartbeat"}, {"b", 8, "z"}}, 8});
    context.time.advance(200ms);
    context.source.answer({{{"a", 9, "heartbeat"}}, 9});
    CHECK(updates == 2);
    CHECK(context.follower.changesSince(5) == versioned_rows{{{"b", 8, "z"}}, 9});
    CHECK(context.follower.changesSince(8) == versioned_rows{{}, 9});
    context.time.advance(200ms);
    context.source.fail(error_code::not_found);
    context.source.answer({{{"c", 3, "w"}}, 12});
    CHECK(context.follower.changesSince(9)
          == versioned_rows{{{"a", 12, "", true}, {"b", 12, "", true}, {"c", 3, "w"}}, 12});
}

TEST_CASE("changes are read less often only once removals are certain")
{
    fixture context;
    table_follower follower(context.time, context.randomness, context.source, nullptr, "t", context.observer,
                            {.batchDelay = 100ms, .settledBatchDelay = 400ms, .uncertainPeriod = 3s});
    context.source.pendingCalls.clear(); // drops those of the fixture's own follower
    follower.start();
    context.source.answer({{}, 5});
    // A removal that is uncertain waits for the row to reappear; reading it late as well would exceed the
    // time for which a removed upstream is guaranteed to serve.
    context.source.answer({{{"a", 6, "1"}}, 6});
    context.time.advance(100ms);
    REQUIRE(context.source.pendingCalls.size() == 1);
    context.time.advance(3s);
    context.source.answer({{{"a", 7, "2"}}, 7});
    context.time.advance(300ms);
    CHECK(context.source.pendingCalls.empty());
    context.time.advance(100ms);
    CHECK(context.source.pendingCalls.size() == 1);
}

TEST_CASE("a refresh while the table is being read starts no other read")
{
    fixture context;
    REQUIRE(context.source.pendingCalls.size() == 1);
    context.follower.refresh();
    CHECK(context.source.pendingCalls.size() == 1);
    context.source.answer({{{"a", 5, "1"}}, 5});
    CHECK(context.observer.seen == texts{"a=1"});
    REQUIRE(context.source.pendingCalls.size() == 1); // a poll
    context.follower.refresh();
    context.follower.refresh();
    CHECK(context.source.pendingCalls.size() == 2);
}

TEST_CASE("while the source is unreachable only one read of the fallback is in flight")
{
    fixture context;
    for (int call = 0; call < 3; ++call) {
        context.source.fail(error_code::unavailable);
        context.time.advance(3s);
    }
    REQUIRE(context.fallback.pendingCalls.size() == 1);
    context.follower.refresh();
    context.follower.mergeFromFallback();
    CHECK(context.fallback.pendingCalls.size() == 1);
    context.fallback.answer({{{"a", 5, "1"}}, 5});
    CHECK(context.observer.seen == texts{"a=1"});
    context.follower.refresh();
    CHECK(context.fallback.pendingCalls.size() == 1);
}

TEST_CASE("a row keeps its own version, whichever way a node reads it")
{
    // Guards against nodes that disagree about which order a row is, because one of them read the row in a
    // list, another as a change, and a third from one of these.
    fixture reader;
    reader.source.answer({{{"a", 3, "x"}}, 5});
    reader.source.answer({{{"b", 6, "y"}}, 7});
    const auto changes = reader.follower.changesSince(5);
    REQUIRE(changes);
    CHECK(*changes == versioned_rows{{{"b", 6, "y"}}, 7});
    fixture other;
    other.source.answer(reader.follower.rows());
    CHECK(other.follower.rowsByKey().at("a").version == 3);
    CHECK(other.follower.rowsByKey().at("b").version == 6);
    other.source.fail(error_code::not_found);
    other.source.answer({{{"a", 3, "x"}, {"b", 6, "y"}, {"c", 8, "z"}}, 12});
    CHECK(other.follower.changesSince(7) == versioned_rows{{{"c", 8, "z"}}, 12});
    fixture third;
    third.source.answer({{}, 7});
    third.source.answer(*other.follower.changesSince(7));
    CHECK(third.follower.rowsByKey().at("c").version == 8);
    CHECK(third.follower.changesSince(7) == versioned_rows{{{"c", 8, "z"}}, 12});
}
