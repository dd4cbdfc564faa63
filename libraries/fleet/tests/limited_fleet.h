#pragma once

#include "fleet/permit_exchange.h"
#include "membership/virtual_network.h"
#include "relay/tests/relay_fixture.h"
#include "shared_view.h"
#include "test_cluster.h"

#include <cmath>
#include <set>

namespace ivypier::fleet::tests {

inline constexpr duration service_time = 60ms;
/// An upstream may get 1.5 times what it named in each window, and this many calls more.
inline constexpr duration window = 4s;
inline constexpr double allowed_share = 1.5;
inline constexpr double allowed_extra = 5.0;
/// The limit binds from this time after it was first named, and a node from this time after it was told.
inline constexpr duration settling_time = 3s;
inline constexpr duration node_settling_time = 500ms;

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
        m_history[port].emplace_back(m_time.now(), callsPerSecond);
    }

    /// Returns a transport that delivers the calls of a node.
    std::unique_ptr<http::exchange_transport> transportOf(std::size_t node)
    {
        return std::make_unique<transport>(*this, node);
    }

    /// Returns the largest number of calls that an upstream got in a window from nodes that it had told, as a
    /// share of what is allowed. Calls of excused nodes don't count.
    double worstShare(std::uint16_t port) const
    {
        if (!arrivals.contains(port))
            return 0.0;
        std::vector<time_point> counted;
        const auto named = namedSince.find(port);
        for (const arrival &each : arrivals.at(port)) {
            const auto told = toldAt.find({port, each.node});
            if (told != toldAt.end() && each.at >= told->second + node_settling_time
                && each.at >= named->second + settling_time && !excused.contains(each.node))
                counted.push_back(each.at);
        }
        double worst = 0.0;
        for (std::size_t first = 0, last = 0; first < counted.size(); ++first) {
            while (last < counted.size() && counted[last] - counted[first] <= window)
                ++last;
            worst = std::max(worst, static_cast<double>(last - first) / allowedFrom(port, counted[first]));
        }
        return worst;
    }

    /// Returns how many calls the upstream may get in the window from this time on.
    double allowedFrom(std::uint16_t port, time_point from) const
    {
        const time_point end = from + window;
        double calls = 0.0;
        time_point until = end;
        const auto &history = m_history.at(port);
        for (auto each = history.rbegin(); each != history.rend() && until > from; ++each) {
            const time_point since = std::clamp(each->first, from, until);
            calls += seconds(until - since) * each->second;
            until = since;
        }
        return std::floor(allowed_share * calls + allowed_extra);
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
    std::set<std::size_t> excused; ///< nodes that were killed: their calls neither arrive nor count

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
        std::unique_ptr<http::outgoing_exchange> start(const endpoint &to, std::string request,
                                                       http::exchange_options,
                                                       http::exchange_observer &observer) override
        {
            auto running = std::make_shared<http::exchange_observer *>(&observer);
            m_upstreams.accept(to.port, m_node, eventAfter(request), running);
            return std::make_unique<exchange>(running);
        }

    private:
        limited_upstreams &m_upstreams;
        std::size_t m_node;
    };

    /// Returns the event that a stream goes on with after the one that the request names.
    static std::string eventAfter(const std::string &request)
    {
        constexpr std::string_view marker = " after ";
        const std::size_t at = request.find(marker);
        return relay::tests::event(
            at == std::string::npos ? 1 : std::stoi(request.substr(at + marker.size())) + 1);
    }

    void accept(std::uint16_t port, std::size_t node, const std::string &event,
                const std::shared_ptr<http::exchange_observer *> &to)
    {
        if (excused.contains(node))
            return;
        arrivals[port].push_back({m_time.now(), node});
        m_time.after(service_time, [this, port, node, event, to] {
            if (!*to || excused.contains(node))
                return;
            http::field_list fields;
            if (limits.contains(port) && ++m_answers[port] % answersPerNaming == 0) {
                fields.add("Limit", std::to_string(limits.at(port)));
                toldAt.try_emplace({port, node}, m_time.now());
            }
            (*to)->onHead({200, fields});
            if (*to)
                (*to)->onBody(event);
            if (*to)
                (*to)->onEnd();
        });
    }

    virtual_scheduler &m_time;
    std::map<std::uint16_t, std::size_t> m_answers;
    std::map<std::uint16_t, std::vector<std::pair<time_point, double>>> m_history; ///< of the limits
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
    relay::permit_request_id request(const std::string &upstream, const relay::permit_request &,
                                     completion done) override
    {
        bucket &of = m_buckets.at(upstream);
        of.permits = std::min(1.0, of.permits + m_part * of.limit * seconds(m_time.now() - of.refilledAt));
        of.refilledAt = m_time.now();
        const bool isGranted = of.permits >= 1.0;
        of.permits -= isGranted ? 1.0 : 0.0;
        done({isGranted, 100ms, 100ms});
        return 0;
    }
    void withdraw(relay::permit_request_id) override
    {
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
            , channel(owner.network.open(owner.time, tests::addressOf(index + 1)))
            , transport(owner.servers.transportOf(index))
        {
            for (const std::uint16_t port : owner.ports)
                upstreams.put({"u" + std::to_string(port),
                               "s",
                               {"10.0.0.1", port},
                               "hall",
                               64,
                               false,
                               false,
                               {},
                               owner.softwareVersionOf(port)});
            versions.response = {"v1", 1};
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
        fleet::permit_exchange permits{fleet.time,        randomness, *channel,
                                       tests::fleetKey(), view,       tests::port};
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

    /// The first `scarceUpstreams` have the software version v1, the others v2; with 0 they state none.
    relaying_fleet(std::size_t nodeCount, std::size_t upstreamCount, std::uint64_t seed,
                   policy usedPolicy = policy::ledger, std::size_t scarceUpstreams = 0)
        : randomness(seed)
        , chosenPolicy(usedPolicy)
        , scarceCount(scarceUpstreams)
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
        result.address = tests::addressOf(id);
        return result;
    }

    /// Sends calls at random times to random nodes.
    void run(duration span, double callsPerSecond)
    {
        const time_point end = time.now() + span;
        while (time.now() < end) {
            time.advance(fromSeconds(-std::log(1.0 - randomness.uniform()) / callsPerSecond));
            const std::size_t index = randomness.index(nodes.size());
            if (!disturbed.contains(index) && !killed.contains(index))
                sendCall(*nodes[index]);
        }
    }

    void sendCall(node &to)
    {
        answers.push_back(std::make_shared<received_response>());
        to.relay.handle(newCall(target), std::make_shared<fake_reply>(answers.back()));
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
            addresses.insert(tests::addressOf(each + 1));
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
            nodes[viewer]->view.setUnseen(std::move(unseen));
        }
    }

    std::string softwareVersionOf(std::uint16_t port) const
    {
        if (scarceCount == 0)
            return {};
        return port < ports.front() + scarceCount ? "v1" : "v2";
    }

    /// Returns which node keeps the ledger of an upstream.
    std::size_t keeperOf(std::uint16_t port) const
    {
        const std::string upstream = "u" + std::to_string(port);
        std::size_t best = 0;
        for (std::size_t index = 1; index < nodes.size(); ++index) {
            if (rendezvousWeight(upstream, nodes[index]->view.self().name)
                > rendezvousWeight(upstream, nodes[best]->view.self().name))
                best = index;
        }
        return best;
    }

    /// Kills nodes. The others notice after `detection`, when the nodes have started again as well.
    void kill(const std::set<std::size_t> &chosen, duration detection)
    {
        for (const std::size_t index : chosen) {
            m_silent.insert(nodes[index]->view.self().address);
            servers.excused.insert(nodes[index]->view.self().id - 1);
            m_killed.push_back(std::move(nodes[index]));
            killed.insert(index);
        }
        dropSilent();
        time.after(detection, [this, chosen] {
            for (const std::size_t index : chosen)
                restart(index);
            updateViews();
        });
    }

    /// Cuts these nodes off from the others, which take them for dead after `detection`, and they the others.
    void cut(const std::set<std::size_t> &chosen, duration detection)
    {
        for (const std::size_t index : chosen)
            m_cut.insert(nodes[index]->view.self().address);
        dropSilent();
        time.after(detection, [this, chosen] {
            m_cutNodes = chosen;
            updateViews();
        });
    }

    /// Has a node take up a stream of version v1.
    std::shared_ptr<received_response> resumeStream(std::size_t index)
    {
        relay::call request = newCall("/t/x");
        request.resumedCall = "begun-" + request.id;
        request.lastEvent = 5;
        auto answer = std::make_shared<received_response>();
        nodes[index]->relay.handle(std::move(request), std::make_shared<fake_reply>(answer));
        return answer;
    }

    relay::call newCall(const std::string &target)
    {
        relay::call request;
        request.id = "id" + std::to_string(++callCount);
        request.method = "GET";
        request.target = target;
        request.host = "h";
        request.callerTimeout = callerTimeout;
        request.receivedAt = time.now();
        return request;
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
    std::size_t scarceCount;
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
                             .requiresKey = false},
                            {.name = "t",
                             .host = "h",
                             .prefix = "/t/",
                             .kind = relay::call_kind::resumable_stream,
                             .timeout = 10s,
                             .targets = {{"s", 1}},
                             .attempts = 2,
                             .requiresKey = false}},
                           {{"s", 64, std::nullopt, std::nullopt}},
                           {},
                           {}});
    std::vector<std::unique_ptr<node>> nodes;
    std::set<std::size_t> disturbed; ///< nodes that get no calls
    std::set<std::size_t> killed; ///< nodes that get no calls until they have started again
    std::vector<std::shared_ptr<received_response>> answers;
    std::string target = "/p/x"; ///< of new calls
    duration callerTimeout = 2s;
    int callCount = 0;

private:
    void restart(std::size_t index)
    {
        const std::string name = "node-" + std::to_string(index + 1);
        membership::member started = memberOf(members.size() + 1);
        started.name = name;
        for (const membership::member &each : members) {
            if (each.name == name)
                m_dead.insert(each.id);
        }
        members.push_back(started);
        nodes[index] = std::make_unique<node>(*this, members.size() - 1);
        nodes[index]->permits.start();
        killed.erase(index);
    }

    void updateViews()
    {
        for (std::size_t viewer = 0; viewer < nodes.size(); ++viewer) {
            if (!nodes[viewer])
                continue;
            std::set<membership::incarnation> unseen = m_dead;
            for (std::size_t other = 0; other < nodes.size(); ++other) {
                if (nodes[other] && m_cutNodes.contains(viewer) != m_cutNodes.contains(other))
                    unseen.insert(nodes[other]->view.self().id);
            }
            nodes[viewer]->view.setUnseen(std::move(unseen));
        }
    }

    void dropSilent()
    {
        network.setDropFilter([this](const endpoint &from, const endpoint &to) {
            return m_silent.contains(from) || m_silent.contains(to)
                || m_cut.contains(from) != m_cut.contains(to);
        });
    }

    std::set<endpoint> m_silent; ///< addresses of killed nodes
    std::set<endpoint> m_cut;
    std::set<std::size_t> m_cutNodes; ///< that the others take for dead
    std::set<membership::incarnation> m_dead;
    std::vector<std::unique_ptr<node>> m_killed; ///< kept, as their timers still run
};

} // namespace ivypier::fleet::tests
