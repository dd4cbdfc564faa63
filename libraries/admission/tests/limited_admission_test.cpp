#include "admission/limited_admission.h"

#include "admission/open_admission.h"
#include "fake_membership.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace ivypier;
using namespace ivypier::admission;
using namespace std::chrono_literals;
using membership::incarnation;
using membership::member_state;

namespace {

constexpr double rate_limit = 200.0;
constexpr std::uint32_t concurrency_limit = 80;

/// Simulates several nodes that admit requests of one account, each of which runs for some time.
class limited_fleet
{
public:
    struct fleet_node
    {
        fleet_node(fake_network &network, virtual_scheduler &tasks, incarnation id)
            : view(network, id)
            , shares(view)
            , admission(tasks, shares, open)
        {
        }

        fake_network::view view;
        share_ledger shares;
        open_admission open;
        limited_admission admission;
        bool alive = true;
        std::uint32_t running = 0;
        double demand = 0.0; ///< requests per second
    };

    limited_fleet(std::size_t count, std::uint64_t seed)
        : randomness(seed)
    {
        for (incarnation id = 1; id <= count; ++id)
            add(id);
        for (auto &[left, node] : nodes) {
            for (auto &[right, other] : nodes)
                node->view.setMember(right, member_state::alive);
        }
    }

    fleet_node &add(incarnation id)
    {
        auto &node = nodes[id];
        node = std::make_unique<fleet_node>(network, tasks, id);
        node->admission.setLimits({{"kumasi", {rate_limit, concurrency_limit}}});
        runEvery(limited_admission::update_interval, *node,
                 [this, raw = node.get()] { raw->admission.update(); });
        runEvery(5ms, *node, [this, raw = node.get()] { generateRequests(*raw); });
        return *node;
    }

    /// Lets every node for which `isObserver` is true observe `subject` in a state, each after a random time
    /// of up to `delay`.
    template <typename Predicate>
    void announceState(incarnation subject, member_state state, duration delay, Predicate isObserver)
    {
        for (auto &[id, node] : nodes) {
            if (!isObserver(id))
                continue;
            tasks.after(fromSeconds(seconds(delay) * randomness.uniform()),
                        [raw = node.get(), subject, state] { raw->view.setMember(subject, state); });
        }
    }

    std::uint32_t running() const
    {
        std::uint32_t sum = 0;
        for (const auto &[id, node] : nodes)
            sum += node->running;
        return sum;
    }

    /// Returns the number of requests admitted in the last `span`.
    std::size_t admittedWithin(duration span) const
    {
        std::size_t count = 0;
        for (auto each = taken.rbegin(); each != taken.rend() && *each > tasks.now() - span; ++each)
            ++count;
        return count;
    }

    /// Advances time by `span` and records the peak usage.
    void run(duration span)
    {
        peakRunning = 0;
        peakInTwoSeconds = 0;
        for (duration passed{}; passed < span; passed += 20ms) {
            tasks.advance(20ms);
            peakRunning = std::max(peakRunning, running());
            peakInTwoSeconds = std::max(peakInTwoSeconds, admittedWithin(2s));
        }
    }

    virtual_scheduler tasks;
    seeded_random randomness;
    fake_network network{tasks, randomness, 400ms};
    std::map<incarnation, std::unique_ptr<fleet_node>> nodes;
    std::deque<time_point> taken;
    duration responseTime = 300ms;
    std::uint32_t peakRunning = 0;
    std::size_t peakInTwoSeconds = 0;

private:
    template <typename Work>
    void runEvery(duration interval, fleet_node &node, Work work)
    {
        tasks.after(fromSeconds(seconds(interval) * (0.9 + 0.2 * randomness.uniform())),
                    [this, interval, raw = &node, work] {
                        if (raw->alive)
                            work();
                        runEvery(interval, *raw, work);
                    });
    }

    void generateRequests(fleet_node &node)
    {
        double expected = node.demand * 0.005;
        while (expected > 0.0) {
            if (randomness.uniform() < expected)
                sendRequest(node);
            expected -= 1.0;
        }
    }

    void sendRequest(fleet_node &node)
    {
        admission_request request;
        request.account = "kumasi";
        if (node.admission.admit(request))
            return;
        ++node.running;
        taken.push_back(tasks.now());
        const duration time = fromSeconds(seconds(responseTime) * (0.5 + randomness.uniform()));
        tasks.after(time, [&node, request] {
            --node.running;
            node.admission.finished(request);
        });
    }
};

/// Requests that the rate limit allows in two seconds, with a burst of one second; each node may hold one
/// more token.
constexpr std::size_t max_in_two_seconds = static_cast<std::size_t>(rate_limit * 3.0) + 8;

const auto anyNode = [](incarnation) { return true; };

} // namespace

TEST_CASE("with stable membership, shifting demand never exceeds an account's limits")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6);
    CAPTURE(seed);
    limited_fleet fleet(8, seed);
    fleet.responseTime = seed % 2 == 0 ? 300ms : 800ms;
    for (int step = 0; step < 15; ++step) {
        for (auto &[id, node] : fleet.nodes)
            node->demand
                = fleet.randomness.uniform() < 0.4 ? rate_limit * fleet.randomness.uniform() * 2.0 : 0.0;
        fleet.run(3s);
        CHECK(fleet.peakRunning <= concurrency_limit);
        CHECK(fleet.peakInTwoSeconds <= max_in_two_seconds);
    }
}

TEST_CASE("almost the whole rate limit is usable at one node within 5 s")
{
    const incarnation busy = GENERATE(1, 5, 8);
    limited_fleet fleet(8, busy);
    fleet.run(5s);
    fleet.nodes[busy]->demand = rate_limit * 1.5;
    fleet.run(5s);
    fleet.taken.clear();
    fleet.run(10s);
    CHECK(static_cast<double>(fleet.taken.size()) >= 0.95 * rate_limit * 10.0);
    CHECK(fleet.peakInTwoSeconds <= max_in_two_seconds);
}

TEST_CASE("almost the whole concurrency limit is usable at one node within 5 s, even after another used it")
{
    limited_fleet fleet(8, 11);
    fleet.responseTime = 3s;
    fleet.run(5s);
    fleet.nodes[1]->demand = rate_limit;
    fleet.run(10s);
    fleet.nodes[1]->demand = 0.0;
    fleet.run(5s); // until the last requests of node 1 have ended
    fleet.nodes[2]->demand = rate_limit;
    fleet.run(5s);
    CHECK(fleet.peakRunning <= concurrency_limit);
    CHECK(fleet.nodes[2]->running >= static_cast<std::uint32_t>(0.95 * concurrency_limit));
}

TEST_CASE("units held by running requests are not transferred")
{
    limited_fleet fleet(8, 12);
    fleet.responseTime = 10s;
    fleet.run(5s);
    fleet.nodes[1]->demand = rate_limit;
    fleet.run(8s);
    CHECK(fleet.nodes[1]->running >= static_cast<std::uint32_t>(0.9 * concurrency_limit));
    fleet.nodes[2]->demand = rate_limit;
    fleet.run(30s);
    CHECK(fleet.peakRunning <= concurrency_limit);
    CHECK(fleet.nodes[2]->running >= concurrency_limit / 4);
}

TEST_CASE("a dead holder's share is redistributed after its timeout and not used twice before")
{
    const std::uint64_t seed = GENERATE(21, 22, 23);
    CAPTURE(seed);
    limited_fleet fleet(8, seed);
    for (auto &[id, node] : fleet.nodes)
        node->demand = rate_limit / 2.0;
    fleet.run(10s);
    fleet.nodes[3]->alive = false;
    fleet.announceState(3, member_state::dead, 2s, [](incarnation id) { return id != 3; });
    fleet.run(7s);
    CHECK(fleet.peakRunning <= concurrency_limit);
    fleet.run(10s);
    fleet.taken.clear();
    fleet.run(10s);
    CHECK(static_cast<double>(fleet.taken.size()) >= 0.95 * rate_limit * 10.0);
    CHECK(fleet.peakInTwoSeconds <= max_in_two_seconds);
}

TEST_CASE("after a change of membership the limit is exceeded by at most one node's share for at most 10 s")
{
    const std::uint64_t seed = GENERATE(31, 32, 33, 34, 35, 36);
    CAPTURE(seed);
    limited_fleet fleet(8, seed);
    for (auto &[id, node] : fleet.nodes)
        node->demand = rate_limit / 2.0;
    fleet.run(10s);
    constexpr std::uint32_t one_share = concurrency_limit / 7 + 1;
    const incarnation changed = 1 + fleet.randomness.index(8);
    if (seed % 3 == 0) { // a node leaves
        fleet.announceState(changed, member_state::leaving, 1s, anyNode);
    } else if (seed % 3 == 1) { // the others declare a node dead, which finds out after 9 s
        fleet.announceState(changed, member_state::dead, 1s, [&](incarnation id) { return id != changed; });
        fleet.tasks.after(9s, [&] { fleet.announceState(changed, member_state::alive, 1s, anyNode); });
    } else { // a node joins
        auto &added = fleet.add(9);
        added.shares.setExpectedHolders(8);
        for (auto &[id, node] : fleet.nodes)
            added.view.setMember(id, member_state::alive);
        fleet.announceState(9, member_state::alive, 2s, anyNode);
        added.demand = rate_limit / 2.0;
    }
    fleet.run(14s);
    CHECK(fleet.peakRunning <= concurrency_limit + one_share);
    CHECK(fleet.peakInTwoSeconds
          <= max_in_two_seconds + static_cast<std::size_t>(rate_limit / 7.0 * 3.0) + 2);
    fleet.run(5s);
    CHECK(fleet.peakRunning <= concurrency_limit);
    CHECK(fleet.peakInTwoSeconds <= max_in_two_seconds);
}

TEST_CASE("the two sides of a network partition together stay within the limit")
{
    const std::size_t left = GENERATE(1, 3, 4, 5);
    CAPTURE(left);
    limited_fleet fleet(8, 40 + left);
    for (auto &[id, node] : fleet.nodes)
        node->demand = rate_limit / 2.0;
    fleet.run(10s);
    std::set<incarnation> side;
    for (incarnation id = 1; id <= left; ++id)
        side.insert(id);
    fleet.network.partition(side);
    for (incarnation id = 1; id <= 8; ++id) {
        fleet.announceState(id, member_state::dead, 1s, [&](incarnation observer) {
            return side.contains(observer) != side.contains(id);
        });
    }
    fleet.run(30s);
    CHECK(fleet.peakRunning <= concurrency_limit);
    CHECK(fleet.peakInTwoSeconds <= max_in_two_seconds);
    fleet.network.heal();
    for (incarnation id = 1; id <= 8; ++id)
        fleet.announceState(id, member_state::alive, 1s, anyNode);
    fleet.run(10s);
    CHECK(fleet.peakRunning <= concurrency_limit + concurrency_limit / left);
    fleet.run(10s);
    CHECK(fleet.peakRunning <= concurrency_limit);
    CHECK(fleet.peakInTwoSeconds <= max_in_two_seconds);
}

TEST_CASE("a paused node uses no share until it is counted again")
{
    limited_fleet fleet(4, 50);
    fleet.nodes[2]->demand = rate_limit;
    fleet.run(8s);
    CHECK(fleet.nodes[2]->running > 0);
    fleet.nodes[2]->alive = false;
    fleet.run(20s);
    CHECK(fleet.nodes[2]->shares.share("kumasi", fleet.tasks.now()) == 0);
    fleet.nodes[2]->admission.update();
    CHECK(fleet.nodes[2]->shares.share("kumasi", fleet.tasks.now()) == 0);
}

TEST_CASE("a starting fleet serves immediately and within the limit")
{
    limited_fleet fleet(8, 60);
    for (auto &[id, node] : fleet.nodes) {
        node->shares.setExpectedHolders(8);
        node->demand = rate_limit / 2.0;
        for (incarnation other = 1; other <= 8; ++other)
            node->view.setMember(other, other == id ? member_state::alive : member_state::dead);
    }
    for (incarnation id = 1; id <= 8; ++id)
        fleet.announceState(id, member_state::alive, 2s, anyNode);
    fleet.run(2s);
    CHECK(fleet.taken.size() > 200);
    CHECK(fleet.peakRunning <= concurrency_limit);
    fleet.run(20s);
    CHECK(fleet.peakRunning <= concurrency_limit);
    CHECK(fleet.peakInTwoSeconds <= max_in_two_seconds);
}

TEST_CASE("an account that uses more than its share is marked as over its share")
{
    class recording_policy final : public admission_policy
    {
    public:
        std::optional<refusal> admit(const admission_request &request) override
        {
            last = request;
            return std::nullopt;
        }
        void finished(const admission_request &) override
        {
        }
        admission_request last;
    };
    virtual_scheduler tasks;
    seeded_random randomness(1);
    fake_network network(tasks, randomness, 10ms);
    fake_network::view view(network, 1);
    share_ledger shares(view);
    recording_policy next;
    limited_admission admission(tasks, shares, next);
    admission.setLimits({{"kumasi", {100.0, 0}}, {"tamale", {100.0, 0}}});
    for (int count = 0; count < 8; ++count) {
        admission.update();
        tasks.advance(500ms);
    }
    for (int count = 0; count < 40; ++count) {
        CHECK_FALSE(admission.admit({.account = "kumasi"}));
        if (count % 8 == 0)
            CHECK_FALSE(admission.admit({.account = "tamale"}));
    }
    tasks.advance(500ms);
    admission.update();
    CHECK_FALSE(admission.admit({.account = "kumasi"}));
    CHECK(next.last.overShare);
    CHECK_FALSE(admission.admit({.account = "tamale"}));
    CHECK_FALSE(next.last.overShare);
}

TEST_CASE("a share record can be encoded and decoded, and malformed text is rejected")
{
    const share_record record{120'000, 5'000, {{7, 1'000}, {0xabcdef, 2}}};
    CHECK(share_record::decode(record.encode()).value() == record);
    for (const char *text : {"", "1", "1 x", "1 2 3", "1 2 zz:3", "1 2 0000000000000007:", "-1 0"})
        CHECK_FALSE(share_record::decode(text));
}
