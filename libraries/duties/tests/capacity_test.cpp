#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "duties/upstream_autoscaler.h"

#include <catch2/catch.hpp>

using namespace ivypier;
using namespace ivypier::duties;
using namespace std::chrono_literals;

namespace {

relay::scaling_rule threeDomains()
{
    return {1, 6, 4s, 0.2, {{"a", 1.0}, {"b", 1.2}, {"c", 0.9}}};
}

std::uint32_t onDemandOf(const capacity_plan &plan)
{
    std::uint32_t sum = 0;
    for (const auto &[domain, counts] : plan)
        sum += counts.onDemand;
    return sum;
}

std::uint32_t totalOf(const capacity_plan &plan)
{
    std::uint32_t sum = 0;
    for (const auto &[domain, counts] : plan)
        sum += counts.total();
    return sum;
}

/// Simulates a cloud and its list of upstreams in virtual time. It boots and reclaims upstreams, and can
/// reject orders or execute them late.
class simulated_cloud final : public cloud::fenced_operations
{
public:
    simulated_cloud(virtual_scheduler &time, relay::upstream_directory &upstreams)
        : m_time(time)
        , m_upstreams(upstreams)
    {
    }

    void reportUsage(const cloud::usage_report &, std::uint64_t, completion done) override
    {
        done(success());
    }

    void orderCapacity(const cloud::capacity_order &order, std::uint64_t, completion done) override
    {
        ++orderCount;
        if (order.reclaimable && reclaimableUnavailable && order.count > running(order.failureDomain, true)) {
            m_time.after(10ms, [done] { done(error{error_code::conflict, "no capacity available"}); });
            return;
        }
        if (delaysNextOrder) {
            delaysNextOrder = false;
            m_time.after(6s, [this, order] { applyOrder(order); });
            m_time.after(2s, [done] { done(error{error_code::timed_out, "no response"}); });
            return;
        }
        m_time.after(10ms, [this, order, done] {
            applyOrder(order);
            done(success());
        });
    }

    void add(const std::string &domain, bool reclaimable)
    {
        const std::string id = "i" + std::to_string(++m_started);
        m_upstreams.put({id, "s", {}, domain, 64, false, reclaimable});
        m_running[id] = {domain, reclaimable};
    }

    /// Reclaims all reclaimable upstreams of a domain: they drain at once and are removed 2.7 s later.
    void reclaim(const std::string &domain)
    {
        for (const auto &[id, kind] : std::map(m_running)) {
            if (kind.first != domain || !kind.second)
                continue;
            relay::upstream_record leaving = m_upstreams.find(id)->record;
            leaving.draining = true;
            m_upstreams.put(leaving);
            m_running.erase(id);
            m_time.after(2700ms, [this, id = id] { m_upstreams.remove(id); });
        }
    }

    std::uint32_t ready() const
    {
        return static_cast<std::uint32_t>(m_upstreams.ready("s").size());
    }

    bool reclaimableUnavailable = false;
    bool delaysNextOrder = false;
    int orderCount = 0;

private:
    std::uint32_t running(const std::string &domain, bool reclaimable) const
    {
        std::uint32_t count = 0;
        for (const auto &[id, kind] : m_running)
            count += kind == std::pair(domain, reclaimable) ? 1 : 0;
        return count;
    }

    void applyOrder(const cloud::capacity_order &order)
    {
        std::vector<std::string> matching;
        for (const auto &[id, kind] : m_running) {
            if (kind == std::pair(order.failureDomain, order.reclaimable))
                matching.push_back(id);
        }
        for (std::size_t index = order.count; index < matching.size(); ++index) {
            m_upstreams.remove(matching[index]);
            m_running.erase(matching[index]);
        }
        for (std::size_t index = matching.size(); index < order.count; ++index) {
            const std::string id = "i" + std::to_string(++m_started);
            m_running[id] = {order.failureDomain, order.reclaimable};
            m_time.after(4s, [this, id, order] {
                if (m_running.contains(id))
                    m_upstreams.put({id, "s", {}, order.failureDomain, 64, false, order.reclaimable});
            });
        }
    }

    virtual_scheduler &m_time;
    relay::upstream_directory &m_upstreams;
    std::map<std::string, std::pair<std::string, bool>> m_running;
    int m_started = 0;
};

class fake_lease final : public placement::duty
{
public:
    std::optional<placement::lease> held() const override
    {
        return current;
    }

    std::optional<placement::lease> current;
};

struct fixture
{
    fixture()
    {
        configureLog("tests", log_level::error);
        configuration.version = 1;
        configuration.services = {{"s", 64, relay::engine_size{64, 400000}, threeDomains()}};
        lease.current = placement::lease{7, 7, time_point(1h)};
        for (const char *domain : {"a", "b", "c"}) {
            for (int each = 0; each < 3; ++each)
                cloud.add(domain, false);
        }
    }

    void runFor(duration span, double load)
    {
        constexpr double speed = 30000.0;
        for (duration passed{}; passed < span; passed += 400ms) {
            std::map<std::string, relay::service_work> work;
            if (load > 0.0)
                work["s"] = {load * speed, speed};
            autoscaler.poll(configuration, work);
            time.advance(400ms);
            minReady = std::min(minReady, cloud.ready());
        }
    }

    virtual_scheduler time;
    relay::upstream_directory upstreams{time};
    simulated_cloud cloud{time, upstreams};
    fake_lease lease;
    relay::service_map configuration;
    upstream_autoscaler autoscaler{time, cloud, lease, upstreams, capacity_policy({}), {}};
    std::uint32_t minReady = 1000;
};

} // namespace

TEST_CASE("the plan handles the load even after the loss of a domain's reclaimable upstreams")
{
    const capacity_policy policy({});
    const capacity_plan present{{"a", {1, 3}}, {"b", {0, 3}}, {"c", {0, 3}}};
    for (double load = 0.1; load < 4.2; load += 0.1) {
        const capacity_plan plan = policy.choose({threeDomains(), load, present, {}});
        std::uint32_t largest = 0;
        for (const auto &[domain, counts] : plan) {
            CHECK(counts.total() >= threeDomains().minPerDomain);
            CHECK(counts.total() <= threeDomains().maxPerDomain);
            largest = std::max(largest, counts.reclaimable);
        }
        CHECK(totalOf(plan) >= capacity_options().normal.enginesFor(load) - 1e-6);
        CHECK((totalOf(plan) - largest) * 0.5 >= load - 1e-6);
        CHECK(onDemandOf(plan) >= 1);
    }
}

TEST_CASE("missing reclaimable upstreams are replaced by on-demand upstreams")
{
    const capacity_policy policy({});
    const capacity_plan allPresent
        = policy.choose({threeDomains(), 2.0, {{"a", {1, 2}}, {"b", {0, 2}}, {"c", {0, 2}}}, {}});
    const capacity_plan nonePresent
        = policy.choose({threeDomains(), 2.0, {{"a", {1, 0}}, {"b", {0, 0}}, {"c", {0, 0}}}, {}});
    CHECK(onDemandOf(allPresent) <= 2);
    CHECK(onDemandOf(nonePresent) * 0.35 >= 2.0);
}

TEST_CASE("a load beyond the limits orders the maximum in each domain")
{
    const capacity_plan plan = capacity_policy({}).choose({threeDomains(), 50.0, {{"a", {1, 2}}}, {}});
    CHECK(totalOf(plan) == 18);
}

TEST_CASE("on-demand upstreams are released only once reclaimable ones have booted")
{
    fixture scenario;
    scenario.runFor(60s, 0.9);
    CHECK(scenario.minReady >= 0.9 * capacity_options().degraded.enginesFor(1.0));
    std::uint32_t onDemand = 0;
    for (const relay::upstream *each : scenario.upstreams.ready("s"))
        onDemand += each->record.reclaimable ? 0 : 1;
    CHECK(onDemand == 1);
}

TEST_CASE("on-demand upstreams replace reclaimed ones when all domains are reclaimed and none are available")
{
    fixture scenario;
    scenario.runFor(40s, 1.5);
    scenario.minReady = 1000;
    scenario.cloud.reclaimableUnavailable = true;
    for (const char *domain : {"c", "b", "a"}) {
        scenario.cloud.reclaim(domain);
        scenario.runFor(4800ms, 1.5);
    }
    scenario.runFor(10s, 1.5);
    // At a load of 1.5 three engines are half busy; that is the minimum while replacements boot.
    CHECK(scenario.minReady >= 3);
    CHECK(scenario.cloud.ready() * 0.36 >= 1.5);
    scenario.cloud.reclaimableUnavailable = false;
    scenario.runFor(60s, 1.5);
    std::uint32_t onDemand = 0;
    for (const relay::upstream *each : scenario.upstreams.ready("s"))
        onDemand += each->record.reclaimable ? 0 : 1;
    CHECK(onDemand <= 2);
}

TEST_CASE("upstreams that are reclaimed just after they were ordered are replaced at once")
{
    fixture scenario;
    scenario.runFor(40s, 1.0);
    scenario.runFor(4800ms, 2.0); // additional upstreams were ordered and have just booted
    scenario.cloud.reclaimableUnavailable = true;
    scenario.cloud.reclaim("a");
    scenario.cloud.reclaim("b");
    scenario.runFor(4800ms, 2.0);
    CHECK(scenario.cloud.ready() >= capacity_options().degraded.enginesFor(2.0) - 0.01);
}

TEST_CASE(
    "after one domain was reclaimed the others keep their reclaimable upstreams although the load falls")
{
    fixture scenario;
    scenario.runFor(40s, 4.0);
    const auto reclaimableIn = [&](const std::string &domain) {
        std::uint32_t count = 0;
        for (const relay::upstream *each : scenario.upstreams.ready("s"))
            count += each->record.reclaimable && each->record.failureDomain == domain ? 1 : 0;
        return count;
    };
    const std::uint32_t before = reclaimableIn("b");
    REQUIRE(before >= 3);
    scenario.runFor(400ms, 1.5);
    REQUIRE(reclaimableIn("b") == before);
    scenario.cloud.reclaimableUnavailable = true;
    scenario.cloud.reclaim("a");
    scenario.runFor(11s, 1.5);
    CHECK(reclaimableIn("b") == before);
    scenario.cloud.reclaimableUnavailable = false;
    scenario.runFor(60s, 1.5);
    CHECK(reclaimableIn("b") < before);
}

TEST_CASE("before the first call on-demand upstreams are released as soon as reclaimable ones boot")
{
    fixture scenario;
    scenario.runFor(4s, 0.0);
    std::uint32_t onDemand = 0;
    for (const relay::upstream *each : scenario.upstreams.ready("s"))
        onDemand += each->record.reclaimable ? 0 : 1;
    CHECK(onDemand == 1);
    scenario.runFor(6s, 0.0);
    CHECK(scenario.cloud.ready() >= 9);
}

TEST_CASE("an order that is executed late is corrected")
{
    fixture scenario;
    scenario.runFor(40s, 1.5);
    const std::uint32_t before = scenario.cloud.ready();
    scenario.cloud.delaysNextOrder = true;
    scenario.runFor(20s, 3.0);
    scenario.runFor(120s, 1.5);
    CHECK(scenario.cloud.ready() >= before);
    CHECK(scenario.cloud.ready() <= before + 3);
}

TEST_CASE("a steady load causes no orders")
{
    fixture scenario;
    scenario.runFor(60s, 1.5);
    const int before = scenario.cloud.orderCount;
    scenario.runFor(60s, 1.45);
    CHECK(scenario.cloud.orderCount == before);
}

TEST_CASE("a rollout causes no orders: its target does not count, and the old upstreams are kept")
{
    fixture scenario;
    seeded_random randomness{3};
    delivery::rollout_gate gate{scenario.time, randomness};
    scenario.autoscaler.followRollouts(gate);
    scenario.runFor(60s, 1.5);
    const int before = scenario.cloud.orderCount;
    const std::uint32_t old = scenario.cloud.ready();
    gate.setOrders({{"s", "v2", 60s, 5, scenario.time.now()}});
    gate.setStatus({"s", "v2", 5, delivery::rollout_state::in_progress, 0.5, {1, 1}, 0}, scenario.time.now());
    for (std::uint32_t index = 0; index < old; ++index)
        scenario.upstreams.put(
            {"n" + std::to_string(index), "s", {}, index % 2 == 0 ? "a" : "b", 64, false, false, {}, "v2"});
    // Also with half of the load nothing is released.
    scenario.runFor(30s, 1.5);
    scenario.runFor(60s, 0.7);
    CHECK(scenario.cloud.orderCount == before);
    CHECK(scenario.cloud.ready() == 2 * old);
}

TEST_CASE("a node without the lease places no orders")
{
    fixture scenario;
    scenario.lease.current.reset();
    scenario.runFor(60s, 3.0);
    CHECK(scenario.cloud.orderCount == 0);
}

TEST_CASE("a large fleet keeps a smaller fraction idle than a small one, and loadFor inverts enginesFor")
{
    const capacity_options options;
    CHECK(options.normal.enginesFor(3.0) >= 2.9 * 3.0);
    CHECK(options.normal.enginesFor(25.0) <= 2.5 * 25.0);
    for (const double load : {0.5, 3.0, 25.0, 400.0}) {
        CHECK(options.normal.loadFor(options.normal.enginesFor(load)) == Approx(load));
        CHECK(options.afterDomainLoss.enginesFor(load) < options.degraded.enginesFor(load));
        CHECK(options.degraded.enginesFor(load) < options.normal.enginesFor(load));
    }
}
