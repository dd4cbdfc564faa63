#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::relay;
using namespace ivypier::relay::tests;
using namespace std::chrono_literals;

namespace {

/// A node before upstreams that leave, ask to wait, crash and start again at random, with rows that are
/// stale.
struct stating_upstreams
{
    explicit stating_upstreams(std::uint64_t seed)
        : randomness(seed)
    {
        for (int index = 0; index < 3; ++index)
            startNew();
    }

    void startNew()
    {
        const std::string id = "u" + std::to_string(++started);
        ids.push_back(id);
        fixture.upstreams.put(recordOf(id));
    }

    static upstream_record recordOf(const std::string &id)
    {
        return {id, "s", {"10.0.0.1", 80}, "hall", 4};
    }

    /// Returns the upstream that an exchange is meant for, from the fixture's encoding of requests.
    static std::string targetOf(const fake_transport::fake_exchange &exchange)
    {
        const std::size_t begin = exchange.bytes.find(" to ") + 4;
        return exchange.bytes.substr(begin, exchange.bytes.find(' ', begin) - begin);
    }

    /// Counts the calls sent since the last check to upstreams that wanted none.
    void checkNewCalls()
    {
        for (; checked < fixture.startedExchanges(); ++checked) {
            const std::string id = targetOf(*fixture.transport.startedExchanges[checked]);
            const auto wait = waitUntil.find(id);
            sentToLeft += left.contains(id) ? 1 : 0;
            sentToWaiting += wait != waitUntil.end() && fixture.time.now() < wait->second ? 1 : 0;
        }
    }

    void answerOne()
    {
        std::vector<std::shared_ptr<fake_transport::fake_exchange>> running;
        for (const auto &each : fixture.transport.startedExchanges) {
            if (each->isRunning())
                running.push_back(each);
        }
        if (running.empty())
            return;
        const auto exchange = running[randomness.index(running.size())];
        const std::string id = targetOf(*exchange);
        const auto wait = std::chrono::milliseconds(randomness.index(3000));
        switch (randomness.index(5)) {
        case 0:
            left.insert(id);
            exchange->head(200, {{"Leaving", "yes"}});
            exchange->end();
            break;
        case 1:
            waitUntil[id] = std::max(waitUntil[id], fixture.time.now() + wait);
            exchange->head(503, {{"Meaning", "not_run"}, {"Wait ms", std::to_string(wait.count())}});
            break;
        case 2:
            exchange->fail(http::exchange_stage::sent);
            break;
        default:
            exchange->head(200, {});
            exchange->end();
        }
    }

    void step()
    {
        const std::string &id = ids[randomness.index(ids.size())];
        switch (randomness.index(8)) {
        case 0:
            fixture.upstreams.put(recordOf(id)); // a stale row, or one of a restored store
            break;
        case 1:
            if (randomness.index(4) == 0) {
                fixture.upstreams.remove(id);
                startNew();
            }
            break;
        case 2:
            fixture.time.advance(std::chrono::milliseconds(randomness.index(400)));
            break;
        case 3:
        case 4:
            answerOne();
            break;
        default:
            fixture.startCall();
        }
        checkNewCalls();
    }

    relay_fixture fixture;
    seeded_random randomness;
    std::vector<std::string> ids;
    std::set<std::string> left;
    std::map<std::string, time_point> waitUntil;
    std::size_t checked = 0;
    int started = 0;
    int sentToLeft = 0;
    int sentToWaiting = 0;
};

} // namespace

TEST_CASE("no call goes to an upstream that left, nor to one that asked to wait, whatever happens")
{
    std::size_t calls = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        stating_upstreams run(seed);
        run.fixture.upstreams.remove("a");
        run.fixture.upstreams.remove("b");
        for (int step = 0; step < 150; ++step)
            run.step();
        INFO("seed " << seed);
        REQUIRE(run.sentToLeft == 0);
        REQUIRE(run.sentToWaiting == 0);
        calls += run.checked;
    }
    CHECK(calls > 10'000);
}
