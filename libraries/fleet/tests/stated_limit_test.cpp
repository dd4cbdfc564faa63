#include "fleet/permit_exchange.h"
#include "membership/virtual_network.h"
#include "relay/tests/relay_fixture.h"
#include "shared_view.h"
#include "test_cluster.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdio>

using namespace ivypier;
using ivypier::fleet::tests::shared_view;
using namespace std::chrono_literals;

namespace {

constexpr duration service_time = 60ms;
/// An upstream may get 1.5 times what it named in each window, and this many calls more.
constexpr duration window = 4s;
constexpr double allowed_share = 1.5;
constexpr double allowed_extra = 5.0;
/// The limit binds from this time after it was first named, and a node from this time after it was told.
constexpr duration settling_time = 3s;
constexpr duration node_settling_time = 500ms;

/// Upstreams that answer every call after a fixed time, and name a limit if they have one.
class limited_upstreams
{
public:
    struct arrival
    {
        time_point at{};
        std::size_t node = 0;
    };

    explicit limited_upstreams(virtual_scheduler &time)
        : m_time(time)
    {
    }

    void setLimit(std::uint16_t port, double callsPerSecond)
    {
        limits[port] = callsPerSecond;
        namedSince.try_emplace(port, m_time.now());
    }

    /// Returns a transport that delivers the calls of a node.
    std::unique_ptr<http::exchange_transport> transportOf(std::size_t node)
    {
        return std::make_unique<transport>(*this, node);
    }

    /// Returns the largest number of calls that an upstream got in a window from nodes that it had told, as a
    /// share of what is allowed.
    double worstShare(std::uint16_t port) const
    {
        if (!arrivals.contains(port))
            return 0.0;
        std::vector<time_point> counted;
        const auto named = namedSince.find(port);
        for (const arrival &each : arrivals.at(port)) {
            const auto told = toldAt.find({port, each.node});
            if (told != toldAt.end() && each.at >= told->second + node_settling_time
                && each.at >= named->second + settling_time)
                counted.push_back(each.at);
        }
        std::size_t worst = 0;
        for (std::size_t last = 0, first = 0; last < counted.size(); ++last) {
            while (counted[last] - counted[first] > window)
                ++first;
            worst = std::max(worst, last - first + 1);
        }
        return static_cast<double>(worst)
            / std::floor(allowed_share * seconds(window) * limits.at(port) + allowed_extra);
    }

    std::size_t arrivalsSince(std::uint16_t port, time_point since) const
    {
        if (!arrivals.contains(port))
            return 0;
        return static_cast<std::size_t>(std::count_if(arrivals.at(port).begin(), arrivals.at(port).end(),
                                                      [&](const arrival &each) { return each.at >= since; }));
    }

    std::map<std::uint16_t, double> limits;
    std::map<std::uint16_t, time_point> namedSince;
    std::map<std::uint16_t, std::vector<arrival>> arrivals;
    std::map<std::pair<std::uint16_t, std::size_t>, time_point> toldAt;
    std::size_t answersPerNaming = 1; ///< one answer in so many names the limit

private:
    class exchange final : public http::outgoing_exchange
    {
    public:
        explicit exchange(std::shared_ptr<http::exchange_observer *> observer)
            : m_observer(std::move(observer))
        {
        }
        ~exchange() override
        {
            *m_observer = nullptr;
        }
        void pause() override
        {
        }
        void resume() override
        {
        }

    private:
        std::shared_ptr<http::exchange_observer *> m_observer;
    };

    class transport final : public http::exchange_transport
    {
    public:
        transport(limited_upstreams &upstreams, std::size_t node)
            : m_upstreams(upstreams)
            , m_node(node)
        {
        }
        std::unique_ptr<http::outgoing_exchange> start(const endpoint &to, std::string,
                                                       http::exchange_options,
                                                       http::exchange_observer &observer) override
        {
            auto running = std::make_shared<http::exchange_observer *>(&observer);
            m_upstreams.accept(to.port, m_node, running);
            return std::make_unique<exchange>(running);
        }

    private:
        limited_upstreams &m_upstreams;
        std::size_t m_node;
    };

    void accept(std::uint16_t port, std::size_t node, const std::shared_ptr<http::exchange_observer *> &to)
    {
        arrivals[port].push_back({m_time.now(), node});
        m_time.after(service_time, [this, port, node, to] {
            if (!*to)
                return;
            http::field_list fields;
            if (limits.contains(port) && ++m_answers[port] % answersPerNaming == 0) {
                fields.add("Limit", std::to_string(limits.at(port)));
                toldAt.try_emplace({port, node}, m_time.now());
            }
            (*to)->onHead({200, fields});
            if (*to)
                (*to)->onEnd();
        });
    }

    virtual_scheduler &m_time;
    std::map<std::uint16_t, std::size_t> m_answers;
};

/// A node's own token bucket for each upstream, with a part of the limit. For comparison.
class own_bucket_permits final : public relay::call_permits
{
public:
    own_bucket_permits(virtual_scheduler &time, double part)
        : m_time(time)
        , m_part(part)
    {
    }

    bool isNeeded(const std::string &upstream) const override
    {
        return m_buckets.contains(upstream);
    }
    std::optional<relay::permit_decision> knownRefusal(const std::string &) override
    {
        return std::nullopt;
    }
    void request(const std::string &upstream, completion done) override
    {
        bucket &of = m_buckets.at(upstream);
        of.permits = std::min(1.0, of.permits + m_part * of.limit * seconds(m_time.now() - of.refilledAt));
        of.refilledAt = m_time.now();
        const bool isGranted = of.permits >= 1.0;
        of.permits -= isGranted ? 1.0 : 0.0;
        done({isGranted, 100ms, 100ms});
    }
    void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond) override
    {
        if (callsPerSecond)
            m_buckets.try_emplace(upstream, bucket{*callsPerSecond, 0.0, m_time.now()});
    }

private:
    struct bucket
    {
        double limit = 0.0;
        double permits = 0.0;
        time_point refilledAt{};
    };

    virtual_scheduler &m_time;
    double m_part;
    std::map<std::string, bucket> m_buckets;
};

enum class policy { ledger, own_bucket, equal_share };

/// Nodes that pass calls on to the same upstreams.
struct relaying_fleet
{
    struct node
    {
        node(relaying_fleet &owner, std::size_t index)
            : fleet(owner)
            , randomness(100 + index)
            , view(owner.members, index)
            , channel(owner.network.open(owner.time, fleet::tests::addressOf(index + 1)))
            , transport(owner.servers.transportOf(index))
        {
            for (const std::uint16_t port : owner.ports)
                upstreams.put({"u" + std::to_string(port), "s", {"10.0.0.1", port}, "hall", 64});
            relay.setTable(owner.table);
        }

        relaying_fleet &fleet;
        seeded_random randomness;
        shared_view view;
        std::unique_ptr<membership::datagram_channel> channel;
        metrics_registry metrics;
        std::unique_ptr<http::exchange_transport> transport;
        relay::tests::plain_protocol protocol;
        relay::upstream_directory upstreams{fleet.time};
        relay::prefix_affinity_selector selector{fleet.time, randomness, upstreams, "hall", {}};
        relay::retry_budget retries{fleet.time, {0.2, 10.0, 10s}};
        relay::unit_quota quota{fleet.time, randomness};
        relay::run_counter runs{5000};
        relay::work_meter work{fleet.time};
        relay::upstream_speed speeds{fleet.time};
        own_bucket_permits ownBucket{
            fleet.time,
            fleet.chosenPolicy == policy::own_bucket ? 1.0 : 1.0 / static_cast<double>(fleet.members.size())};
        fleet::permit_exchange permits{fleet.time, randomness,        *channel, fleet::tests::fleetKey(),
                                       view,       fleet::tests::port};
        relay::call_permits &usedPermits
            = fleet.chosenPolicy == policy::ledger ? static_cast<relay::call_permits &>(permits) : ownBucket;
        relay::tests::fake_origins origins;
        relay::tests::fake_versions versions;
        relay::answer_buffers buffers{std::size_t{8} * 1024 * 1024};
        relay::tests::fake_quarantine quarantine;
        relay::tests::fake_reachability_check reachability{fleet.time};
        relay::upstream_end_detector ends{fleet.time, upstreams, reachability, quarantine};
        relay::crash_key_deriver crashKeys{relay::tests::testFleetKey()};
        relay::relay_service relay{{fleet.time,
                                    randomness,
                                    metrics,
                                    *transport,
                                    protocol,
                                    upstreams,
                                    selector,
                                    retries,
                                    quota,
                                    runs,
                                    work,
                                    speeds,
                                    usedPermits,
                                    origins,
                                    versions,
                                    buffers,
                                    quarantine,
                                    ends,
                                    crashKeys,
                                    [this] { return fleet.time.wallMilliseconds(); },
                                    [](const relay::service &) { return std::size_t{64}; }}};
    };

    relaying_fleet(std::size_t nodeCount, std::size_t upstreamCount, std::uint64_t seed,
                   policy usedPolicy = policy::ledger)
        : randomness(seed)
        , chosenPolicy(usedPolicy)
    {
        configureLog("tests", log_level::error);
        for (std::size_t index = 0; index < upstreamCount; ++index)
            ports.push_back(static_cast<std::uint16_t>(9000 + index));
        for (std::size_t id = 1; id <= nodeCount; ++id)
            members.push_back(memberOf(id));
        for (std::size_t index = 0; index < nodeCount; ++index)
            nodes.push_back(std::make_unique<node>(*this, index));
        network.setDelay(1ms, 3ms);
        for (const auto &each : nodes)
            each->permits.start();
    }

    /// Has all nodes know the limits, as if each had got an answer that names them.
    void tellAll()
    {
        for (const auto &[port, limit] : servers.limits) {
            for (std::size_t index = 0; index < nodes.size(); ++index) {
                nodes[index]->usedPermits.recordAnswer("u" + std::to_string(port), limit);
                servers.toldAt.try_emplace({port, index}, time.now());
            }
        }
    }

    static membership::member memberOf(membership::incarnation id)
    {
        membership::member result;
        result.id = id;
        result.name = "node-" + std::to_string(id);
        result.address = fleet::tests::addressOf(id);
        return result;
    }

    /// Sends calls at random times to random nodes.
    void run(duration span, double callsPerSecond)
    {
        const time_point end = time.now() + span;
        while (time.now() < end) {
            time.advance(fromSeconds(-std::log(1.0 - randomness.uniform()) / callsPerSecond));
            const std::size_t index = randomness.index(nodes.size());
            if (!disturbed.contains(index))
                sendCall(*nodes[index]);
        }
    }

    void sendCall(node &to)
    {
        relay::call request;
        request.id = "id" + std::to_string(++callCount);
        request.method = "GET";
        request.target = "/p/x";
        request.host = "h";
        request.callerTimeout = 2s;
        request.receivedAt = time.now();
        answers.push_back(std::make_shared<received_response>());
        to.relay.handle(std::move(request), std::make_shared<fake_reply>(answers.back()));
    }

    /// Stops or cuts off other nodes in each round, and lets the ones before come back. The others notice
    /// after a second and a half. What such a node sends is excused, so it gets no calls until it is back.
    void disturb(int round)
    {
        std::set<std::size_t> chosen;
        const bool isCut = round % 2 == 1;
        while (chosen.size() < (isCut ? nodes.size() / 3 : 2))
            chosen.insert(randomness.index(nodes.size()));
        std::set<endpoint> addresses;
        for (const std::size_t each : chosen)
            addresses.insert(fleet::tests::addressOf(each + 1));
        network.setDropFilter([addresses](const endpoint &from, const endpoint &to) {
            return addresses.contains(from) != addresses.contains(to);
        });
        disturbed = chosen;
        time.after(1500ms, [this, chosen] { hideFromEachOther(chosen); });
        time.after(2500ms, [this] {
            network.setDropFilter(nullptr);
            hideFromEachOther({});
            disturbed.clear();
        });
    }

    /// Has these nodes and all others take each other for dead.
    void hideFromEachOther(const std::set<std::size_t> &which)
    {
        for (std::size_t viewer = 0; viewer < nodes.size(); ++viewer) {
            std::set<membership::incarnation> unseen;
            for (std::size_t other = 0; other < nodes.size(); ++other) {
                if (which.contains(viewer) != which.contains(other))
                    unseen.insert(other + 1);
            }
            nodes[viewer]->view.unseen = std::move(unseen);
        }
    }

    std::size_t countAnswers(int status) const
    {
        return static_cast<std::size_t>(std::count_if(
            answers.begin(), answers.end(), [&](const auto &each) { return each->status == status; }));
    }

    virtual_scheduler time;
    seeded_random randomness;
    membership::virtual_network network{time, randomness};
    policy chosenPolicy;
    std::vector<membership::member> members;
    std::vector<std::uint16_t> ports;
    limited_upstreams servers{time};
    std::shared_ptr<const relay::route_table> table = std::make_shared<const relay::route_table>(
        relay::service_map{1,
                           {{.name = "r",
                             .host = "h",
                             .prefix = "/p/",
                             .kind = relay::call_kind::idempotent,
                             .timeout = 3s,
                             .targets = {{"s", 1}},
                             .attempts = 2,
                             .requiresKey = false}},
                           {{"s", 64, std::nullopt, std::nullopt}},
                           {},
                           {}});
    std::vector<std::unique_ptr<node>> nodes;
    std::set<std::size_t> disturbed; ///< nodes that get no calls
    std::vector<std::shared_ptr<received_response>> answers;
    int callCount = 0;
};

} // namespace

TEST_CASE("an upstream that names a limit gets no more than that from all nodes together", "[slow]")
{
    relaying_fleet fleet(8, 9, 21);
    fleet.run(5s, 50.0);
    fleet.servers.setLimit(9000, 1.5);
    fleet.servers.setLimit(9001, 1.9);
    fleet.run(30s, 50.0);
    CHECK(fleet.servers.worstShare(9000) <= 1.0);
    CHECK(fleet.servers.worstShare(9001) <= 1.0);
    CHECK(fleet.countAnswers(200) > fleet.answers.size() * 95 / 100);
}

namespace {

/// The share of the calls that the upstreams could have taken, and that they got, while callers were refused.
double usedShare(const relaying_fleet &of, time_point since)
{
    std::size_t got = 0;
    double could = 0.0;
    for (const std::uint16_t port : of.ports) {
        got += of.servers.arrivalsSince(port, since);
        could += of.servers.limits.at(port) * seconds(of.time.now() - since);
    }
    return static_cast<double>(got) / could;
}

double worstShare(const relaying_fleet &of)
{
    double worst = 0.0;
    for (const std::uint16_t port : of.ports)
        worst = std::max(worst, of.servers.worstShare(port));
    return worst;
}

void setLimits(relaying_fleet &of, double callsPerSecond)
{
    for (const std::uint16_t port : of.ports)
        of.servers.setLimit(port, callsPerSecond);
}

} // namespace

TEST_CASE("limits named by all upstreams hold in fleets of any size, and are used", "[slow]")
{
    const std::size_t nodes = GENERATE(8, 60, 295);
    const double limit = GENERATE(0.4, 1.5, 20.0, 400.0);
    INFO(nodes << " nodes, " << limit << " calls a second");
    relaying_fleet fleet(nodes, 3, 31);
    setLimits(fleet, limit);
    fleet.tellAll();
    const double demand = 3 * std::max(2.0 * limit, 30.0);
    fleet.run(8s, demand);
    const time_point since = fleet.time.now();
    fleet.run(40s, demand);
    CHECK(worstShare(fleet) <= 1.0);
    CHECK(usedShare(fleet, since) >= 0.9);
}

TEST_CASE("a limit of a fraction of a call a second holds before 1,600 nodes, and is used", "[slow]")
{
    const double limit = GENERATE(0.4, 20.0);
    INFO(limit << " calls a second");
    relaying_fleet fleet(1600, 3, 32);
    setLimits(fleet, limit);
    fleet.tellAll();
    const double demand = 3 * std::max(2.0 * limit, 30.0);
    fleet.run(20s, demand);
    const time_point since = fleet.time.now();
    fleet.run(30s, demand);
    CHECK(worstShare(fleet) <= 1.0);
    CHECK(usedShare(fleet, since) >= 0.9);
}

// Prints the table of docs/MEASUREMENTS.md.
TEST_CASE("limits of upstreams by policy", "[.table]")
{
    std::printf("nodes limit  policy       worst 4 s / bound  used while refusing\n");
    for (const std::size_t nodes : {8, 60, 295, 1600}) {
        for (const double limit : {0.4, 1.5, 20.0, 400.0}) {
            for (const auto &[name, chosen] : {std::pair{"ledger", policy::ledger},
                                               {"own bucket", policy::own_bucket},
                                               {"equal share", policy::equal_share}}) {
                relaying_fleet fleet(nodes, 3, 31, chosen);
                setLimits(fleet, limit);
                fleet.tellAll();
                const double demand = 3 * std::max(2.0 * limit, 30.0);
                fleet.run(10s, demand);
                const time_point since = fleet.time.now();
                fleet.run(30s, demand);
                std::printf("%5zu %5.1f  %-11s %19.2f %20.2f\n", nodes, limit, name, worstShare(fleet),
                            usedShare(fleet, since));
            }
        }
    }
}

TEST_CASE("a limit holds while nodes restart, keepers end and a third of the nodes is cut off", "[slow]")
{
    const double limit = GENERATE(0.4, 1.5, 20.0);
    const std::uint64_t seed = GENERATE(41, 42, 43, 44, 45);
    INFO(limit << " calls a second, seed " << seed);
    relaying_fleet fleet(24, 3, seed);
    setLimits(fleet, limit);
    fleet.run(8s, 200.0);
    for (int round = 0; round < 10; ++round) {
        fleet.disturb(round);
        fleet.run(3s, 200.0);
    }
    CHECK(worstShare(fleet) <= 1.0);
}

TEST_CASE("a limit that rises, falls, ends and comes back is followed", "[slow]")
{
    relaying_fleet fleet(24, 1, 51);
    const std::uint16_t port = fleet.ports.front();
    const auto rateOf = [&](duration span) {
        const time_point since = fleet.time.now();
        fleet.run(span, 100.0);
        return static_cast<double>(fleet.servers.arrivalsSince(port, since)) / seconds(span);
    };
    fleet.servers.setLimit(port, 4.0);
    fleet.run(8s, 100.0);
    CHECK(rateOf(10s) == Approx(4.0).epsilon(0.15));
    fleet.servers.setLimit(port, 20.0);
    fleet.run(2s, 100.0);
    CHECK(rateOf(10s) == Approx(20.0).epsilon(0.15));
    fleet.servers.setLimit(port, 2.0);
    fleet.run(2s, 100.0);
    CHECK(rateOf(10s) == Approx(2.0).epsilon(0.2));
    fleet.servers.limits.erase(port);
    fleet.run(5s, 100.0);
    CHECK(rateOf(10s) > 80.0);
    fleet.servers.setLimit(port, 2.0);
    fleet.run(8s, 100.0);
    CHECK(rateOf(10s) == Approx(2.0).epsilon(0.2));
}

TEST_CASE("a limit that only one answer in three names holds", "[slow]")
{
    const double limit = GENERATE(0.4, 1.5, 20.0, 400.0);
    INFO(limit << " calls a second");
    relaying_fleet fleet(24, 3, 61);
    fleet.servers.answersPerNaming = 3;
    setLimits(fleet, limit);
    const double demand = 3 * std::max(2.0 * limit, 30.0);
    fleet.run(8s, demand);
    const time_point since = fleet.time.now();
    fleet.run(40s, demand);
    CHECK(worstShare(fleet) <= 1.0);
    CHECK(usedShare(fleet, since) >= 0.9);
}
