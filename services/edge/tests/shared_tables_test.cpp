#include "../peer_feed_codec.h"
#include "../peer_feed_server.h"
#include "../shared_feed.h"
#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "fake_membership.h"
#include "fake_transport.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::edge;
using namespace std::chrono_literals;

namespace {

/// Completes every request at once with `next`.
class immediate_feed final : public cloud::change_feed
{
public:
    void list(const std::string &, completion done) override
    {
        ++listCalls;
        done(next);
    }
    void changes(const std::string &, std::uint64_t, duration, completion done) override
    {
        ++changesCalls;
        done(next);
    }

    outcome<cloud::versioned_rows> next = cloud::versioned_rows{};
    int listCalls = 0;
    int changesCalls = 0;
};

/// Holds requests for changes until the test completes them.
class pending_feed final : public cloud::change_feed
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

    cloud::versioned_rows rows{{{"a", 3, "x", false}}, 5};
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

membership::member nodeOf(membership::incarnation id, const std::string &domain)
{
    membership::member result;
    result.id = id;
    result.name = "node-" + std::to_string(id);
    result.address = {"10.0.0." + std::to_string(id), 8221};
    result.failureDomain = domain;
    return result;
}

struct fleet
{
    explicit fleet(membership::incarnation nodes)
    {
        for (membership::incarnation id = 1; id <= nodes; ++id) {
            views.push_back(std::make_unique<admission::fake_network::view>(network, id));
            views.back()->setMember(nodeOf(id, "hall"));
        }
        for (const auto &each : views) {
            for (membership::incarnation id = 1; id <= nodes; ++id)
                each->setMember(nodeOf(id, "hall"));
            readers.push_back(std::make_unique<table_readers>(time, randomness, *each));
        }
    }

    std::vector<std::size_t> directReaders() const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < readers.size(); ++index) {
            if (readers[index]->readsDirectly())
                result.push_back(index);
        }
        return result;
    }

    virtual_scheduler time;
    seeded_random randomness{4};
    admission::fake_network network{time, randomness, 100ms};
    std::vector<std::unique_ptr<admission::fake_network::view>> views;
    std::vector<std::unique_ptr<table_readers>> readers;
};

http::incoming_request peerRequest(const std::string &query)
{
    http::incoming_request result;
    result.head.method = "GET";
    result.head.target = std::string(peer_feed_path) + '?' + query;
    return result;
}

} // namespace

TEST_CASE("all nodes of a small failure domain read directly, only a few of a large one")
{
    CHECK(fleet(table_readers::max_nodes_reading_directly).directReaders().size()
          == table_readers::max_nodes_reading_directly);
    CHECK(fleet(20).directReaders().size() == 2);
    CHECK(fleet(50).directReaders().size() == 2);
    CHECK(fleet(100).directReaders().size() == 3);
}

TEST_CASE("a failed reader is avoided during its cooldown, and a dead reader is replaced")
{
    fleet testFleet(10);
    const std::vector<std::size_t> directReaders = testFleet.directReaders();
    std::size_t nonReader = 0;
    while (std::count(directReaders.begin(), directReaders.end(), nonReader) > 0)
        ++nonReader;
    const auto first = testFleet.readers[nonReader]->pick();
    REQUIRE(first);
    testFleet.readers[nonReader]->reportFailure(first->id);
    for (int round = 0; round < 20; ++round)
        CHECK(testFleet.readers[nonReader]->pick()->id != first->id);
    testFleet.readers[nonReader]->reportFailure(testFleet.readers[nonReader]->pick()->id);
    CHECK_FALSE(testFleet.readers[nonReader]->pick());
    testFleet.time.advance(table_readers::failed_reader_cooldown);
    CHECK(testFleet.readers[nonReader]->pick());
    for (const auto &each : testFleet.views)
        each->setMember(first->id, membership::member_state::dead);
    CHECK(testFleet.directReaders().size() == 2);
}

TEST_CASE("large rows come to every node from a reader, and none passes them on to more than a few others")
{
    const membership::incarnation count = GENERATE(5, 26, 100, 300);
    const fleet testFleet(count);
    const std::vector<std::size_t> directReaders = testFleet.directReaders();
    std::map<membership::incarnation, std::size_t> children;
    std::map<std::size_t, std::size_t> parentOf;
    for (std::size_t node = 0; node < testFleet.readers.size(); ++node) {
        if (std::count(directReaders.begin(), directReaders.end(), node) > 0)
            continue;
        const auto parent = testFleet.readers[node]->pickRelay();
        REQUIRE(parent);
        ++children[parent->id];
        parentOf[node] = parent->id - 1;
    }
    for (const auto &[parent, number] : children)
        CHECK(number <= table_readers::max_children);
    for (const auto &[node, parent] : parentOf) {
        std::size_t at = node;
        for (int level = 0; level < 4 && parentOf.contains(at); ++level)
            at = parentOf.at(at);
        CHECK(std::count(directReaders.begin(), directReaders.end(), at) == 1);
    }
}

TEST_CASE("a node whose relay failed asks a reader")
{
    fleet testFleet(100);
    const std::vector<std::size_t> directReaders = testFleet.directReaders();
    for (const auto &each : testFleet.readers) {
        if (each->readsDirectly())
            continue;
        each->reportFailure(each->pickRelay()->id);
        const auto next = each->pickRelay();
        REQUIRE(next);
        CHECK(std::count(directReaders.begin(), directReaders.end(), next->id - 1) == 1);
    }
}

TEST_CASE("a node that is not a reader asks its peers, and the platform when they fail")
{
    fleet testFleet(10);
    immediate_feed platform;
    immediate_feed peers;
    std::size_t nonReader = 0;
    while (testFleet.readers[nonReader]->readsDirectly())
        ++nonReader;
    shared_feed feed(*testFleet.readers[nonReader], platform, peers);
    peers.next = cloud::versioned_rows{{}, 7};
    std::uint64_t version = 0;
    const auto note
        = [&](const outcome<cloud::versioned_rows> &read) { version = read ? read.value().version : 0; };
    feed.changes("t", 3, 1s, note);
    feed.list("t", note);
    CHECK(version == 7);
    CHECK(platform.listCalls + platform.changesCalls == 0);

    peers.next = error{error_code::unavailable, "cut off"};
    platform.next = cloud::versioned_rows{{}, 8};
    feed.changes("t", 3, 1s, note);
    CHECK(version == 8);
    feed.list("t", note);
    CHECK(platform.changesCalls == 1);
    CHECK(platform.listCalls == 1);

    // When the peer no longer has the changes, the error is returned, so that the table is listed again.
    peers.next = error{error_code::not_found, "too old"};
    error_code code{};
    feed.changes("t", 3, 1s, [&](const outcome<cloud::versioned_rows> &read) { code = read.error().code; });
    CHECK(code == error_code::not_found);
    CHECK(platform.changesCalls == 1);
}

TEST_CASE("a reader never asks its peers")
{
    fleet testFleet(10);
    immediate_feed platform;
    immediate_feed peers;
    shared_feed feed(*testFleet.readers[testFleet.directReaders().front()], platform, peers);
    feed.changes("t", 3, 1s, [](const outcome<cloud::versioned_rows> &) {});
    feed.list("t", [](const outcome<cloud::versioned_rows> &) {});
    CHECK(platform.listCalls + platform.changesCalls == 2);
    CHECK(peers.listCalls + peers.changesCalls == 0);
}

TEST_CASE("a request for changes is held until there are changes, its wait expires or the platform is lost")
{
    configureLog("tests", log_level::error);
    virtual_scheduler time;
    seeded_random randomness{4};
    pending_feed source;
    accepting_observer observer;
    cloud::table_follower follower(time, randomness, source, nullptr, "t", observer);
    row_transfer transfer(follower);
    peer_feed_server server(time);
    server.serve("t", follower, transfer);
    const auto sendQuery = [&](const std::string &query) {
        auto received = std::make_shared<received_response>();
        server.handleRequest(peerRequest(query), std::make_shared<fake_reply>(received));
        return received;
    };
    CHECK(sendQuery("table=t")->status == 404); // not loaded yet
    follower.start();
    CHECK(sendQuery("table=other")->status == 404);
    const auto whole = sendQuery("table=t");
    CHECK(whole->status == 200);
    CHECK(decodeRows(whole->body).value().rows == source.rows);
    CHECK(sendQuery("table=t&after=4&wait_ms=1000")->status == 410);

    const auto pendingAnswer = sendQuery("table=t&after=5&wait_ms=1000");
    CHECK_FALSE(pendingAnswer->ended);
    source.waiting(cloud::versioned_rows{{{"b", 6, "y", false}}, 6});
    CHECK(decodeRows(pendingAnswer->body).value().rows == cloud::versioned_rows{{{"b", 6, "y", false}}, 6});

    const auto timedOut = sendQuery("table=t&after=6&wait_ms=1000");
    time.advance(1500ms);
    CHECK(decodeRows(timedOut->body).value().rows == cloud::versioned_rows{{}, 6});

    const auto cutOff = sendQuery("table=t&after=6&wait_ms=1000");
    source.waiting(error{error_code::timed_out, "simulated timeout"});
    CHECK(cutOff->status == 503);
    CHECK(sendQuery("table=t&after=6&wait_ms=1000")->status == 503);
}
