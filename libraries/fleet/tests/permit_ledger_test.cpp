#include "base/virtual_scheduler.h"
#include "fleet/permit_ledger.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::fleet;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 4.0;

/// A ledger of the upstream `u`, which has no permits at first.
struct ledger_fixture
{
    ledger_fixture()
    {
        sent_counts sent{};
        sent[0] = 100;
        ledger.open("u", {limit, {}}, sent);
        time.advance(5s); // pays the debt
        while (ask({.isContinuation = true})) { }
    }

    /// Returns whether a permit was granted at once.
    bool ask(const relay::permit_request &details)
    {
        bool isGranted = false;
        ledger.request("u", {limit, {}}, details,
                       [&](const relay::permit_decision &decision) { isGranted = decision.isGranted; });
        return isGranted;
    }

    /// Queues a continuation, which adds its decision to `decided`.
    relay::permit_request_id queue(const std::string &name, duration patience = 3s)
    {
        return ledger.request("u", {limit, {}}, {true, true, patience},
                              [this, name](const relay::permit_decision &decision) {
                                  decided.push_back(name + (decision.isGranted ? " granted" : " refused"));
                              });
    }

    virtual_scheduler time;
    seeded_random randomness{3};
    permit_ledger ledger{time, randomness};
    std::vector<std::string> decided;
};

} // namespace

TEST_CASE("continuations that wait get their permits in the order in which they came")
{
    ledger_fixture fixture;
    for (const char *name : {"a", "b", "c"})
        fixture.queue(name);
    CHECK(fixture.decided.empty());
    CHECK_FALSE(fixture.ask({.isContinuation = true}));
    fixture.time.advance(3s);
    CHECK(fixture.decided == std::vector<std::string>{"a granted", "b granted", "c granted"});
}

TEST_CASE("a continuation whose permit would come too late is refused at once")
{
    ledger_fixture fixture;
    fixture.queue("impatient", 10ms);
    CHECK(fixture.decided == std::vector<std::string>{"impatient refused"});
    for (int queued = 0; queued < 100; ++queued)
        fixture.queue("one of many");
    const auto refused = std::count(fixture.decided.begin(), fixture.decided.end(), "one of many refused");
    // Those that wait are no more than the limit brings in the longest wait.
    CHECK(refused >= 100 - limit * seconds(permit_ledger::max_queue_time));
}

TEST_CASE("a caller that hangs up leaves the queue to those behind it")
{
    ledger_fixture fixture;
    const relay::permit_request_id first = fixture.queue("first");
    for (int queued = 0; queued < 3; ++queued)
        fixture.queue("other");
    fixture.ledger.withdraw("u", first);
    fixture.time.advance(4s);
    CHECK(fixture.decided == std::vector<std::string>(3, "other granted"));
}

TEST_CASE("continuations that wait are refused as soon as a lower limit has no room for them")
{
    ledger_fixture fixture;
    for (int queued = 0; queued < 8; ++queued)
        fixture.queue("queued");
    REQUIRE(fixture.decided.empty());
    fixture.ledger.recordAnswer("u", limit / 4);
    CHECK(std::count(fixture.decided.begin(), fixture.decided.end(), "queued refused") >= 4);
}

TEST_CASE("continuations that wait go on when the limit ends")
{
    ledger_fixture fixture;
    for (int queued = 0; queued < 4; ++queued)
        fixture.queue("queued");
    for (int answers = 0; answers < permit_ledger::answers_to_end; ++answers) {
        fixture.time.advance(300ms);
        fixture.ledger.recordAnswer("u", std::nullopt);
    }
    CHECK(fixture.decided == std::vector<std::string>(4, "queued granted"));
}

TEST_CASE("a new call is refused at once when there is no permit, also behind waiting continuations")
{
    ledger_fixture fixture;
    fixture.queue("queued");
    while (fixture.ask({})) { }
    fixture.time.advance(100ms);
    CHECK_FALSE(fixture.ask({}));
    fixture.time.advance(3s);
    CHECK(fixture.decided == std::vector<std::string>{"queued granted"});
    CHECK(fixture.ask({}));
}

// Guards against a ledger that is dropped as idle by the request that uses it.
TEST_CASE("a ledger is used again after a long pause")
{
    ledger_fixture fixture;
    fixture.time.advance(2 * permit_ledger::idle_retention);
    CHECK(fixture.ask({}));
}
