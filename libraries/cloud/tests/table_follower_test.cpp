#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "cloud/table_follower.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace ivypier;
using namespace ivypier::cloud;
using namespace std::chrono_literals;

namespace {

/// A feed whose calls wait until the test answers them.
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
        take().done(error{code, "as the test says"});
    }

    std::deque<pending_call> pendingCalls;
};

class recording_observer final : public table_observer
{
public:
    bool onChange(const feed_row &row, bool uncertain) override
    {
        if (row.value == "heartbeat")
            return false;
        seen.push_back((row.removed ? '-' + row.key : row.key + '=' + row.value) + (uncertain ? "?" : ""));
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

TEST_CASE("a table is read once and then followed from its version on")
{
    fixture with;
    with.source.answer({{{"a", 1, "x"}}, 5});
    CHECK(with.source.pendingCalls.front().after == 5);
    with.time.advance(10s);
    with.source.answer({{{"b", 6, "y"}, {"a", 7, "", true}}, 7});
    CHECK(with.observer.seen == texts{"a=x", "b=y", "-a"});
    CHECK(with.source.pendingCalls.empty()); // changes that come together are read together
    with.time.advance(200ms);
    CHECK(with.source.pendingCalls.front().after == 7);
    CHECK(with.follower.rows().rows.size() == 1);
}

TEST_CASE("when the history is lost the table is read again, and what is missing counts as removed")
{
    fixture with;
    with.source.answer({{{"a", 1, "x"}, {"b", 2, "y"}}, 5});
    with.time.advance(10s);
    with.source.fail(error_code::not_found);
    REQUIRE(with.source.pendingCalls.front().isList);
    with.source.answer({{{"b", 2, "y"}, {"c", 8, "z"}}, 9});
    CHECK(with.observer.seen == texts{"a=x", "b=y", "-a", "c=z"});
}

TEST_CASE("a source that fails is asked again after pauses that grow, and another node meanwhile")
{
    fixture with;
    with.source.answer({{{"a", 1, "x"}}, 5});
    with.source.fail(error_code::unavailable);
    CHECK(with.source.pendingCalls.empty());
    CHECK_FALSE(with.follower.isConnected());
    std::size_t asked = 0;
    for (int round = 0; round < 100; ++round) {
        with.time.advance(100ms);
        if (with.source.pendingCalls.empty())
            continue;
        ++asked;
        with.source.fail(error_code::timed_out);
    }
    CHECK(asked >= 6);
    CHECK(asked <= 25);
    REQUIRE_FALSE(with.fallback.pendingCalls.empty());
    with.fallback.answer({{{"a", 1, "x"}, {"b", 6, "y"}}, 6});
    CHECK(with.observer.seen.back() == "b=y");
    CHECK(with.follower.version() == 6);
}

TEST_CASE("an older table of another node is not taken")
{
    fixture with;
    with.source.answer({{{"a", 1, "new"}}, 9});
    with.source.fail(error_code::unavailable);
    with.follower.refresh();
    with.fallback.answer({{{"a", 1, "old"}}, 8});
    CHECK(with.observer.seen == texts{"a=new"});
}

TEST_CASE("a row that is gone just after the source came back is told as uncertain")
{
    fixture with;
    with.source.answer({{{"a", 1, "x"}}, 5});
    with.time.advance(10s);
    with.source.fail(error_code::unavailable);
    with.time.advance(1s);
    with.source.answer({{{"a", 6, "", true}}, 6});
    CHECK(with.observer.seen.back() == "-a?");
    with.time.advance(5s);
    with.source.answer({{{"b", 7, "", true}}, 7});
    CHECK(with.observer.seen.back() == "-b");
}

TEST_CASE("news of something newer reads the table at once, and the answer to the earlier wait is dropped")
{
    fixture with;
    with.source.answer({{{"a", 1, "x"}}, 5});
    auto waiting = with.source.take();
    with.follower.refresh();
    REQUIRE(with.source.pendingCalls.front().isList);
    with.source.answer({{{"a", 6, "y"}}, 6});
    const texts before = with.observer.seen;
    waiting.done(versioned_rows{{{"a", 6, "y"}}, 6});
    CHECK(with.observer.seen == before);
    CHECK(with.source.pendingCalls.size() == 1);
}

TEST_CASE(
    "a source that was away is asked with short waits until it answers, so that its return is seen soon")
{
    fixture with;
    with.source.answer({{{"a", 1, "x"}}, 5});
    const duration ordinary = with.source.pendingCalls.front().wait;
    CHECK(ordinary <= 3s); // a wait that got lost at the start of an outage blinds the follower for so long
    with.source.fail(error_code::timed_out);
    with.time.advance(2s);
    CHECK(with.source.pendingCalls.front().wait <= 500ms);
    with.source.answer({{}, 5});
    CHECK(with.source.pendingCalls.front().wait == ordinary);
}

TEST_CASE("those who follow a follower get what told something new, each row once")
{
    fixture with;
    CHECK_FALSE(with.follower.changesSince(0));
    int news = 0;
    with.follower.onTableUpdated([&] { ++news; });
    with.source.answer({{{"a", 1, "x"}}, 5});
    CHECK(news == 1);
    CHECK_FALSE(with.follower.changesSince(4)); // what changed before the table was read is not known
    with.source.answer({{{"b", 6, "y"}, {"a", 7, "heartbeat"}, {"b", 8, "z"}}, 8});
    with.time.advance(200ms);
    with.source.answer({{{"a", 9, "heartbeat"}}, 9});
    CHECK(news == 2);
    CHECK(with.follower.changesSince(5) == versioned_rows{{{"b", 8, "z"}}, 9});
    CHECK(with.follower.changesSince(8) == versioned_rows{{}, 9});
    with.time.advance(200ms);
    with.source.fail(error_code::not_found);
    with.source.answer({{{"c", 3, "w"}}, 12});
    CHECK(with.follower.changesSince(9)
          == versioned_rows{{{"a", 12, "", true}, {"b", 12, "", true}, {"c", 12, "w"}}, 12});
}
