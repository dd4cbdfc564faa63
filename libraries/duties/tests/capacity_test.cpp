#include "base/log_event.h"
#include "base/virtual_scheduler.h"
#include "duties/upstream_orders.h"

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

/// A cloud and its list of upstreams in virtual time: boots, reclaims, refuses, carries out late.
class scaled_cloud final : public cloud::fenced_operations
{
public:
    scaled_cloud(virtual_scheduler &time, relay::upstream_directory &upstreams)
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
        ++orders;
        if (order.reclaimable && dry && order.count > running(order.failureDomain, true)) {
            m_time.after(10ms, [done] { done(error{error_code::conflict, "none to be had"}); });
            return;
        }
        if (losesNext) {
            losesNext = false;
            m_time.after(6s, [this, order] { carryOut(order); });
            m_time.after(2s, [done] { done(error{error_code::timed_out, "no answer"}); });
            return;
        }
        m_time.after(10ms, [this, order, done] {
            carryOut(order);
            done(success());
        });
    }

    void add(const std::string &domain, bool reclaimable)
    {
        const std::string id = "i" + std::to_string(++m_started);
        m_upstreams.put({id, "s", {}, domain, 64, false, reclaimable});
        m_running[id] = {domain, reclaimable};
    }

    /// Takes back the reclaimable upstreams of a domain after a notice.
    void reclaim(const std::string &domain)
    {
        for (const auto &[id, where] : std::map(m_running)) {
            if (where.first != domain || !where.second)
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

    bool dry = false;
    bool losesNext = false;
    int orders = 0;

private:
    std::uint32_t running(const std::string &domain, bool reclaimable) const
    {
        std::uint32_t count = 0;
        for (const auto &[id, where] : m_running)
            count += where == std::pair(domain, reclaimable) ? 1 : 0;
        return count;
    }

    void carryOut(const cloud::capacity_order &order)
    {
        std::vector<std::string> there;
        for (const auto &[id, where] : m_running) {
            if (where == std::pair(order.failureDomain, order.reclaimable))
                there.push_back(id);
        }
        for (std::size_t index = order.count; index < there.size(); ++index) {
            m_upstreams.remove(there[index]);
            m_running.erase(there[index]);
        }
        for (std::size_t index = there.size(); index < order.count; ++index) {
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

class given_lease final : public placement::duty
{
public:
    std::optional<placement::lease> held() const override
    {
        return now;
    }

    std::optional<placement::lease> now;
};

struct fixture
{
    fixture()
    {
        configureLog("tests", log_level::error);
        configuration.version = 1;
        configuration.services = {{"s", 64, relay::engine_size{64, 400000}, threeDomains()}};
        lease.now = placement::lease{7, 7, time_point(1h)};
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
            orders.turn(configuration, work);
            time.advance(400ms);
            fewest = std::min(fewest, cloud.ready());
        }
    }

    virtual_scheduler time;
    relay::upstream_directory upstreams{time};
    scaled_cloud cloud{time, upstreams};
    given_lease lease;
    relay::service_map configuration;
    upstream_orders orders{time, cloud, lease, upstreams, capacity_policy({}), {}};
    std::uint32_t fewest = 1000;
};

} // namespace

TEST_CASE("the plan is the cheapest that carries the load after the loss of a domain's reclaimable upstreams")
{
    const capacity_policy policy({});
    const capacity_plan present{{"a", {1, 3}}, {"b", {0, 3}}, {"c", {0, 3}}};
    for (double load = 0.1; load < 4.2; load += 0.1) {
        const capacity_plan plan = policy.choose({threeDomains(), load, present, {}});
        std::uint32_t largest = 0;
        for (const auto &[domain, counts] : plan) {
            CHECK(counts.total() >= threeDomains().least);
            CHECK(counts.total() <= threeDomains().most);
            largest = std::max(largest, counts.reclaimable);
        }
        CHECK(totalOf(plan) >= capacity_options().ordinary.engines(load) - 1e-6);
        CHECK((totalOf(plan) - largest) * 0.5 >= load - 1e-6);
        CHECK(onDemandOf(plan) >= 1);
    }
}

TEST_CASE("reclaimable upstreams that are missing are replaced on demand")
{
    const capacity_policy policy({});
    const capacity_plan whole
        = policy.choose({threeDomains(), 2.0, {{"a", {1, 2}}, {"b", {0, 2}}, {"c", {0, 2}}}, {}});
    const capacity_plan none
        = policy.choose({threeDomains(), 2.0, {{"a", {1, 0}}, {"b", {0, 0}}, {"c", {0, 0}}}, {}});
    CHECK(onDemandOf(whole) <= 2);
    CHECK(onDemandOf(none) * 0.35 >= 2.0);
}

TEST_CASE("more than may be ordered is asked for up to the limit of each domain")
{
    const capacity_plan plan = capacity_policy({}).choose({threeDomains(), 50.0, {{"a", {1, 2}}}, {}});
    CHECK(totalOf(plan) == 18);
}

TEST_CASE("upstreams on demand are given back only once reclaimable ones have booted")
{
    fixture with;
    with.runFor(60s, 0.9);
    CHECK(with.fewest >= 0.9 * capacity_options().reduced.engines(1.0));
    std::uint32_t onDemand = 0;
    for (const relay::upstream *each : with.upstreams.ready("s"))
        onDemand += each->record.reclaimable ? 0 : 1;
    CHECK(onDemand == 1);
}

TEST_CASE("reclaims of all domains in turn, with none to be had, are carried by upstreams on demand")
{
    fixture with;
    with.runFor(40s, 1.5);
    with.fewest = 1000;
    with.cloud.dry = true;
    for (const char *domain : {"c", "b", "a"}) {
        with.cloud.reclaim(domain);
        with.runFor(4800ms, 1.5);
    }
    with.runFor(10s, 1.5);
    // Half of the time busy, but for the time in which others boot.
    CHECK(with.fewest >= 3);
    CHECK(with.cloud.ready() * 0.36 >= 1.5);
    with.cloud.dry = false;
    with.runFor(60s, 1.5);
    std::uint32_t onDemand = 0;
    for (const relay::upstream *each : with.upstreams.ready("s"))
        onDemand += each->record.reclaimable ? 0 : 1;
    CHECK(onDemand <= 2);
}

TEST_CASE("upstreams that were reclaimed just after they were ordered are replaced at once")
{
    fixture with;
    with.runFor(40s, 1.0);
    with.runFor(4800ms, 2.0); // more are ordered, and have just booted
    with.cloud.dry = true;
    with.cloud.reclaim("a");
    with.cloud.reclaim("b");
    with.runFor(4800ms, 2.0);
    CHECK(with.cloud.ready() >= capacity_options().reduced.engines(2.0) - 0.01);
}

TEST_CASE(
    "after one domain was taken back the others keep their reclaimable upstreams, though the load falls")
{
    fixture with;
    with.runFor(40s, 4.0);
    const auto reclaimableIn = [&](const std::string &domain) {
        std::uint32_t count = 0;
        for (const relay::upstream *each : with.upstreams.ready("s"))
            count += each->record.reclaimable && each->record.failureDomain == domain ? 1 : 0;
        return count;
    };
    const std::uint32_t before = reclaimableIn("b");
    REQUIRE(before >= 3);
    with.runFor(400ms, 1.5);
    REQUIRE(reclaimableIn("b") == before);
    with.cloud.dry = true;
    with.cloud.reclaim("a");
    with.runFor(11s, 1.5);
    CHECK(reclaimableIn("b") == before);
    with.cloud.dry = false;
    with.runFor(60s, 1.5);
    CHECK(reclaimableIn("b") < before);
}

TEST_CASE("before the first call upstreams on demand are given back as soon as reclaimable ones boot")
{
    fixture with;
    with.runFor(4s, 0.0);
    std::uint32_t onDemand = 0;
    for (const relay::upstream *each : with.upstreams.ready("s"))
        onDemand += each->record.reclaimable ? 0 : 1;
    CHECK(onDemand == 1);
    with.runFor(6s, 0.0);
    CHECK(with.cloud.ready() >= 9);
}

TEST_CASE("an order that is carried out late is put right")
{
    fixture with;
    with.runFor(40s, 1.5);
    const std::uint32_t before = with.cloud.ready();
    with.cloud.losesNext = true;
    with.runFor(20s, 3.0);
    with.runFor(120s, 1.5);
    CHECK(with.cloud.ready() >= before);
    CHECK(with.cloud.ready() <= before + 3);
}

TEST_CASE("a steady load brings no orders")
{
    fixture with;
    with.runFor(60s, 1.5);
    const int before = with.cloud.orders;
    with.runFor(60s, 1.45);
    CHECK(with.cloud.orders == before);
}

TEST_CASE("a node without the lease orders nothing")
{
    fixture with;
    with.lease.now.reset();
    with.runFor(60s, 3.0);
    CHECK(with.cloud.orders == 0);
}

TEST_CASE(
    "a large fleet keeps a smaller part idle than a small one, and a load is found again from its engines")
{
    const capacity_options options;
    CHECK(options.ordinary.engines(3.0) >= 2.9 * 3.0);
    CHECK(options.ordinary.engines(25.0) <= 2.5 * 25.0);
    for (const double load : {0.5, 3.0, 25.0, 400.0}) {
        CHECK(options.ordinary.loadFor(options.ordinary.engines(load)) == Approx(load));
        CHECK(options.afterLoss.engines(load) < options.reduced.engines(load));
        CHECK(options.reduced.engines(load) < options.ordinary.engines(load));
    }
}
