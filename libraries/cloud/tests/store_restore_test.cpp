// Followers of a table that is restored from older copies: one that reads it, and one that follows the first.

#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "cloud/store_position.h"
#include "cloud/table_follower.h"
#include "promise_seeds.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <set>

using namespace ivypier;
using namespace ivypier::cloud;
using namespace std::chrono_literals;

namespace {

/// A store with one table, whose versions go back when it is restored. Reads of changes wait.
class restorable_store final : public change_feed
{
public:
    restorable_store(virtual_scheduler &tasks, random_source &randomness)
        : m_tasks(tasks)
        , m_random(randomness)
    {
    }

    void put(const std::string &key, const std::string &value)
    {
        m_rows[key] = {key, ++m_version, value, false};
        respondToWaiting();
    }

    void remove(const std::string &key)
    {
        m_rows[key] = {key, ++m_version, "", true};
        respondToWaiting();
    }

    void makeCopy()
    {
        m_copies.push_back({m_version, m_rows});
        if (m_copies.size() > 5)
            m_copies.pop_front();
    }

    /// Goes back to a copy. Unanswered calls are interrupted, or go on unaware.
    void restore(std::size_t index, bool interruptsCalls = true)
    {
        std::tie(m_version, m_rows) = m_copies.at(index);
        m_copies.resize(index + 1);
        ++m_era;
        if (!interruptsCalls)
            return;
        for (waiting_call &each : std::exchange(m_waiting, {}))
            complete(std::move(each.done), error{error_code::interrupted, "the connection broke"});
    }

    void list(const std::string &, completion done) override
    {
        versioned_rows result{{}, positionOf(m_version)};
        for (const auto &[key, row] : m_rows) {
            if (!row.removed)
                result.rows.push_back({key, positionOf(row.version), row.value, false});
        }
        complete(std::move(done), std::move(result));
    }

    void changes(const std::string &, std::uint64_t after, duration wait, completion done) override
    {
        const auto position = store_position::fromPacked(after);
        if (position.era() != m_era || position.version() > m_version) {
            complete(std::move(done), error{error_code::not_found, "restored"});
            return;
        }
        if (hasChangesSince(position.version())) {
            complete(std::move(done), changesSince(position.version()));
            return;
        }
        const std::uint64_t number = ++m_callNumber;
        m_waiting.push_back({number, m_era, position.version(), done});
        m_tasks.after(wait, [this, number] {
            for (auto each = m_waiting.begin(); each != m_waiting.end(); ++each) {
                if (each->number != number)
                    continue;
                respond(*each);
                m_waiting.erase(each);
                return;
            }
        });
    }

    std::map<std::string, std::string> content() const
    {
        std::map<std::string, std::string> result;
        for (const auto &[key, row] : m_rows) {
            if (!row.removed)
                result[key] = row.value;
        }
        return result;
    }

    std::size_t copyCount() const
    {
        return m_copies.size();
    }

private:
    struct waiting_call
    {
        std::uint64_t number = 0;
        std::uint64_t era = 0;
        std::uint64_t after = 0;
        completion done;
    };

    std::uint64_t positionOf(std::uint64_t version) const
    {
        return store_position::create(m_era, version).value().packed();
    }

    bool hasChangesSince(std::uint64_t after) const
    {
        return std::any_of(m_rows.begin(), m_rows.end(),
                           [&](const auto &each) { return each.second.version > after; });
    }

    versioned_rows changesSince(std::uint64_t after) const
    {
        versioned_rows result{{}, positionOf(m_version)};
        for (const auto &[key, row] : m_rows) {
            if (row.version > after)
                result.rows.push_back({key, positionOf(row.version), row.value, row.removed});
        }
        std::sort(result.rows.begin(), result.rows.end(),
                  [](const feed_row &left, const feed_row &right) { return left.version < right.version; });
        return result;
    }

    void respondToWaiting()
    {
        for (waiting_call &each : std::exchange(m_waiting, {}))
            respond(each);
    }

    /// As the client of the users' store does, fails if the answer is of another era than the question.
    void respond(waiting_call &each)
    {
        if (each.era == m_era)
            complete(std::move(each.done), changesSince(each.after));
        else
            complete(std::move(each.done), error{error_code::not_found, "restored"});
    }

    void complete(completion done, outcome<versioned_rows> result)
    {
        const duration delay = fromSeconds(0.05 * m_random.uniform());
        m_tasks.after(delay, [done = std::move(done), result = std::move(result)] { done(result); });
    }

    virtual_scheduler &m_tasks;
    random_source &m_random;
    std::map<std::string, feed_row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_era = 0;
    std::uint64_t m_callNumber = 0;
    std::vector<waiting_call> m_waiting;
    std::deque<std::pair<std::uint64_t, std::map<std::string, feed_row>>> m_copies;
};

/// Serves what the followers of other nodes know, one of them drawn for each call, as the feed between nodes
/// does.
class follower_feed final : public change_feed
{
public:
    follower_feed(virtual_scheduler &tasks, random_source &randomness,
                  std::vector<const table_follower *> served)
        : m_tasks(tasks)
        , m_random(randomness)
        , m_served(std::move(served))
    {
    }

    void list(const std::string &, completion done) override
    {
        m_tasks.after(2ms, [done, rows = draw().rows()] { done(rows); });
    }
    void changes(const std::string &, std::uint64_t after, duration, completion done) override
    {
        m_tasks.after(300ms, [&served = draw(), after, done] {
            const auto known = served.changesSince(after);
            if (known)
                done(*known);
            else
                done(error{error_code::not_found, "too old"});
        });
    }

private:
    const table_follower &draw()
    {
        return *m_served[m_random.index(m_served.size())];
    }

    virtual_scheduler &m_tasks;
    random_source &m_random;
    std::vector<const table_follower *> m_served;
};

/// Records the rows that an observer knows, and which removals were uncertain.
class row_recorder final : public table_observer
{
public:
    bool onChange(const feed_row &row, duration uncertainFor) override
    {
        if (row.removed) {
            rows.erase(row.key);
            if (uncertainFor > duration::zero())
                uncertainRemovals.insert(row.key);
        } else {
            rows[row.key] = row.value;
        }
        return true;
    }

    std::map<std::string, std::string> rows;
    std::set<std::string> uncertainRemovals;
};

struct fixture
{
    explicit fixture(std::uint64_t seed)
        : randomness(seed)
    {
        configureLog("tests", log_level::error);
        reader.start();
        otherReader.start();
        asker.start();
    }

    virtual_scheduler time;
    seeded_random randomness;
    restorable_store store{time, randomness};
    row_recorder readRows;
    row_recorder otherReadRows;
    row_recorder askedRows;
    table_follower reader{time, randomness, store, nullptr, "t", readRows};
    table_follower otherReader{time, randomness, store, nullptr, "t", otherReadRows};
    follower_feed peer{time, randomness, {&reader, &otherReader}};
    table_follower asker{time, randomness, peer, nullptr, "t", askedRows};
};

} // namespace

TEST_CASE("positions of a store are ordered by era, then version, and survive packing")
{
    rc::check(
        [](std::uint16_t era, std::uint32_t version, std::uint16_t otherEra, std::uint32_t otherVersion) {
            const auto left = store_position::create(era % 8192, version).value();
            const auto right = store_position::create(otherEra % 8192, otherVersion).value();
            RC_ASSERT(store_position::fromPacked(left.packed()) == left);
            RC_ASSERT((left < right) == (left.packed() < right.packed()));
            RC_ASSERT((left < right)
                      == (std::pair(left.era(), left.version()) < std::pair(right.era(), right.version())));
            RC_ASSERT(left.packed() < std::uint64_t{1} << 53);
        });
    CHECK(store_position::create(0, 77).value().packed() == 77);
    CHECK(store_position::create(8192, 0).has_error());
    CHECK(store_position::create(0, std::uint64_t{1} << 40).has_error());
}

TEST_CASE("after restores every follower knows exactly the rows that the store has")
{
    for (const std::uint64_t seed : promiseSeeds(300)) {
        INFO("seed " << seed);
        fixture run(seed);
        for (int step = 0; step < 60; ++step) {
            const std::string key = std::to_string(run.randomness.index(6));
            const double draw = run.randomness.uniform();
            if (draw < 0.5)
                run.store.put(key, std::to_string(step));
            else if (draw < 0.65)
                run.store.remove(key);
            else if (draw < 0.85 || run.store.copyCount() == 0)
                run.store.makeCopy();
            else
                run.store.restore(run.randomness.index(run.store.copyCount()), draw < 0.92);
            run.time.advance(fromSeconds(0.4 * run.randomness.uniform()));
        }
        // A call that goes on unaware of the restore ends after the time of a poll.
        run.time.advance(5s);
        REQUIRE(run.readRows.rows == run.store.content());
        REQUIRE(run.otherReadRows.rows == run.store.content());
        REQUIRE(run.askedRows.rows == run.store.content());
    }
}

TEST_CASE("a row that is missing after a restore is removed as uncertain")
{
    const bool interruptsCalls = GENERATE(true, false);
    fixture run(1);
    run.store.put("a", "1");
    run.store.makeCopy();
    run.store.put("b", "1");
    run.time.advance(5s);
    REQUIRE(run.readRows.rows.size() == 2);
    run.store.restore(0, interruptsCalls);
    run.time.advance(interruptsCalls ? 2s : 5s);
    CHECK(run.readRows.uncertainRemovals == std::set<std::string>{"b"});
    run.store.put("b", "1"); // written again
    run.time.advance(1s);
    CHECK(run.readRows.rows.size() == 2);
    run.time.advance(5s);
    run.store.remove("b");
    run.readRows.uncertainRemovals.clear();
    run.time.advance(1s);
    CHECK(run.readRows.uncertainRemovals.empty());
}

TEST_CASE("two seconds after a restore that breaks connections every follower knows the rows of the store")
{
    for (const std::uint64_t seed : promiseSeeds(100)) {
        INFO("seed " << seed);
        fixture run(seed);
        for (int step = 0; step < 20; ++step) {
            run.store.put(std::to_string(run.randomness.index(6)), std::to_string(step));
            if (run.randomness.index(4) == 0)
                run.store.makeCopy();
            run.time.advance(fromSeconds(0.4 * run.randomness.uniform()));
        }
        run.store.makeCopy();
        run.store.put("lost", "1");
        run.time.advance(1s);
        run.store.restore(run.randomness.index(run.store.copyCount()));
        run.store.put("new", "1");
        run.time.advance(2s);
        REQUIRE(run.readRows.rows == run.store.content());
        REQUIRE(run.askedRows.rows == run.store.content());
    }
}

TEST_CASE("versions that are given out again after a restore are not mistaken for known ones")
{
    fixture run(2);
    run.store.put("a", "1");
    run.store.makeCopy();
    run.store.put("b", "before");
    run.time.advance(1s);
    run.store.restore(0);
    run.store.put("c", "after"); // with the version that b had
    run.time.advance(2s);
    const std::map<std::string, std::string> expected{{"a", "1"}, {"c", "after"}};
    CHECK(run.readRows.rows == expected);
    CHECK(run.askedRows.rows == expected);
}
