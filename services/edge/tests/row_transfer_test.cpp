#include "../row_transfer.h"
#include "base/log_event.h"
#include "base/virtual_scheduler.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::edge;

namespace {

/// Completes reads of the whole table at once, and keeps the request for changes.
class scripted_feed final : public cloud::change_feed
{
public:
    void list(const std::string &, completion done) override
    {
        done(rows);
    }
    void changes(const std::string &, std::uint64_t, duration, completion done) override
    {
        waiting = std::move(done);
    }

    cloud::versioned_rows rows;
    completion waiting;
};

class accepting_observer final : public cloud::table_observer
{
public:
    bool onChange(const cloud::feed_row &, duration) override
    {
        return true;
    }
};

std::string largeText(std::size_t lines)
{
    seeded_random randomness(5);
    std::string result;
    for (std::size_t line = 0; line < lines; ++line)
        result += "line " + std::to_string(randomness.next()) + '\n';
    return result;
}

/// A node's copy of a table with one row, and the transfer of it.
struct table_copy
{
    table_copy(virtual_scheduler &time, const std::string &value)
        : scheduler(time)
        , follower(time, randomness, feed, nullptr, "t", observer)
        , transfer(follower)
    {
        if (!value.empty())
            feed.rows = {{{"large", 1, value, false}}, 1};
        follower.start();
    }

    void change(const std::string &value)
    {
        ++version;
        feed.waiting(cloud::versioned_rows{{{"large", version, value, false}}, version});
        scheduler.advance(std::chrono::seconds(1));
    }

    virtual_scheduler &scheduler;
    seeded_random randomness{1};
    scripted_feed feed;
    accepting_observer observer;
    cloud::table_follower follower;
    row_transfer transfer;
    std::uint64_t version = 1;
};

} // namespace

TEST_CASE(
    "a large row travels as what changed to a node that has an earlier value, and whole to one that has none")
{
    configureLog("tests", log_level::error);
    virtual_scheduler time;
    const std::string first = largeText(2000);
    const std::string third = first + "one more\nand another\n";
    table_copy reader(time, first);
    table_copy asker(time, first);
    table_copy newcomer(time, "");
    reader.change(first + "one more\n");
    reader.change(third);

    const std::string patched = reader.transfer.pack(reader.follower.rows(), asker.transfer.heldDigests());
    CHECK(patched.size() < 1000);
    const auto read = asker.transfer.unpack(patched);
    REQUIRE(read);
    CHECK(read.value().rows.front().value == third);

    CHECK(newcomer.transfer.heldDigests().empty());
    const std::string whole = reader.transfer.pack(reader.follower.rows(), newcomer.transfer.heldDigests());
    CHECK(whole.size() < third.size());
    REQUIRE(newcomer.transfer.unpack(whole));
    CHECK(newcomer.transfer.unpack(whole).value().rows.front().value == third);
}

TEST_CASE("a node passes on the patches that it received")
{
    virtual_scheduler time;
    const std::string first = largeText(2000);
    table_copy reader(time, first);
    table_copy asker(time, first);
    table_copy last(time, first);
    reader.change(first + "one more\n");
    const auto read
        = asker.transfer.unpack(reader.transfer.pack(reader.follower.rows(), asker.transfer.heldDigests()));
    REQUIRE(read);
    asker.change(read.value().rows.front().value);
    const std::string passedOn = asker.transfer.pack(asker.follower.rows(), last.transfer.heldDigests());
    CHECK(passedOn.size() < 1000);
    CHECK(last.transfer.unpack(passedOn).value().rows.front().value == first + "one more\n");
}

TEST_CASE("a patch for a value that the node no longer has is refused, and so is a damaged one")
{
    virtual_scheduler time;
    const std::string first = largeText(2000);
    table_copy reader(time, first);
    table_copy asker(time, first);
    reader.change(first + "one more\n");
    std::string patched = reader.transfer.pack(reader.follower.rows(), asker.transfer.heldDigests());
    asker.change("something else\n" + first);
    const auto conflicting = asker.transfer.unpack(patched);
    REQUIRE_FALSE(conflicting);
    CHECK(conflicting.error().code == error_code::conflict);

    table_copy other(time, first);
    const std::size_t at = patched.find("\"content\"") + 40;
    patched[at] = patched[at] == 'A' ? 'B' : 'A';
    CHECK_FALSE(other.transfer.unpack(patched));
}

TEST_CASE("a node with a value that is not known any more is sent the whole row")
{
    virtual_scheduler time;
    const std::string first = largeText(2000);
    table_copy reader(time, first);
    table_copy asker(time, largeText(1500) + "of another store\n");
    reader.change(first + "one more\n");
    const auto read
        = asker.transfer.unpack(reader.transfer.pack(reader.follower.rows(), asker.transfer.heldDigests()));
    REQUIRE(read);
    CHECK(read.value().rows.front().value == first + "one more\n");
}
